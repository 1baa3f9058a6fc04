/**
 * The operations of the platform's key-value store that the catalogue needs. The
 * catalogue does not depend on the package `platform`, so it declares a type that
 * `KeyValueStore` satisfies structurally.
 */

export type StoredValue = {key: string; value: string; revision: number};

export type RecordStore = {
	get(key: string, signal?: AbortSignal): Promise<StoredValue | undefined>;
	list(prefix: string, signal?: AbortSignal): Promise<Array<{key: string; revision: number}>>;
	compareAndSwap(
		key: string,
		value: string,
		expectedRevision: number,
	): Promise<
		{kind: 'written'; revision: number} | {kind: 'conflict'; current?: StoredValue | undefined}
	>;
	compareAndDelete(key: string, expectedRevision: number): Promise<boolean>;
};

/** Whether a failed call may have changed the store; true unless the error rules that out. */
export const mayHaveTakenEffect = (error: unknown): boolean =>
	!(error instanceof Error && 'mayHaveTakenEffect' in error && error.mayHaveTakenEffect === false);
