/**
 * The part of the platform's key-value service that the catalogue needs. The
 * package `platform` stands below this one, so the shape is stated here and its
 * `KeyValueStore` fits it.
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

/** Whether a failed call may still have changed the store; true unless the error denies it. */
export const mayHaveTakenEffect = (error: unknown): boolean =>
	!(error instanceof Error && 'mayHaveTakenEffect' in error && error.mayHaveTakenEffect === false);
