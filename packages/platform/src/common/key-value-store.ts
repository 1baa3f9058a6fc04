/** Client interface of the platform's key-value store, with compare-and-swap, leases and watches. */
import * as zod from 'zod';

export const keyValueSchema = zod.object({
	key: zod.string(),
	value: zod.string(),
	/** Revision of the last write of this key; revisions increase across the whole store. */
	revision: zod.number().int(),
	/** Lease that the key is attached to; the key is deleted when the lease ends. */
	leaseId: zod.string().optional(),
});
export type KeyValue = zod.infer<typeof keyValueSchema>;

export const putResultSchema = zod.discriminatedUnion('kind', [
	zod.object({kind: zod.literal('written'), revision: zod.number().int()}),
	zod.object({kind: zod.literal('conflict'), current: keyValueSchema.optional()}),
]);
export type PutResult = zod.infer<typeof putResultSchema>;

export const leaseSchema = zod.object({
	leaseId: zod.string(),
	/** Increases with every granted lease; serves as a fencing number. */
	number: zod.number().int(),
	ttlMs: zod.number(),
});
export type Lease = zod.infer<typeof leaseSchema>;

/** A failed call of a platform service. `mayHaveTakenEffect` is true when the response may have been lost. */
export class PlatformError extends Error {
	readonly service: string;
	readonly mayHaveTakenEffect: boolean;
	/** HTTP status of the response; undefined without a response. */
	readonly status: number | undefined;

	constructor(
		service: string,
		message: string,
		mayHaveTakenEffect: boolean,
		options: {cause?: unknown; status?: number} = {},
	) {
		super(`${service}: ${message}`, {cause: options.cause});
		this.name = 'PlatformError';
		this.service = service;
		this.mayHaveTakenEffect = mayHaveTakenEffect;
		this.status = options.status;
	}
}

/** Key-value store. Each call counts against its rate limits; a watch counts once while it waits. */
export abstract class KeyValueStore {
	/** @returns the value, or undefined when the key does not exist. @throws {@link PlatformError} */
	abstract get(key: string, signal?: AbortSignal): Promise<KeyValue | undefined>;

	/** Lists keys with a prefix, without their values. @throws {@link PlatformError} */
	abstract list(prefix: string, signal?: AbortSignal): Promise<Array<Omit<KeyValue, 'value'>>>;

	/**
	 * Writes a key if its current revision equals `expectedRevision`; 0 means that
	 * the key must not exist. @throws {@link PlatformError}
	 */
	abstract compareAndSwap(
		key: string,
		value: string,
		expectedRevision: number,
		options?: {leaseId?: string; signal?: AbortSignal},
	): Promise<PutResult>;

	/** Deletes a key if its revision matches. @throws {@link PlatformError} */
	abstract compareAndDelete(key: string, expectedRevision: number): Promise<boolean>;

	/**
	 * Waits until the key has a revision above `afterRevision`. Returns undefined
	 * after `waitMs`. @throws {@link PlatformError}
	 */
	abstract watch(
		key: string,
		afterRevision: number,
		waitMs: number,
		signal?: AbortSignal,
	): Promise<KeyValue | undefined>;

	/** Grants a lease. @throws {@link PlatformError} */
	abstract grantLease(ttlMs: number): Promise<Lease>;

	/** Renews a lease; false when the lease has already ended. @throws {@link PlatformError} */
	abstract renewLease(leaseId: string): Promise<boolean>;

	/** Ends a lease and deletes its keys. @throws {@link PlatformError} */
	abstract revokeLease(leaseId: string): Promise<void>;
}
