/**
 * A lease of the store. A store that is restored from a copy gives out the ids of lost
 * leases again, so a lease of an earlier era may be another daemon's.
 */
import type * as prefixStore from './prefix-store.js';

export type StoreLease = {
	/** Writes a key that is deleted when the lease ends. @throws Error also when the lease is of an earlier era */
	put(key: string, value: Uint8Array): Promise<void>;
	/** @returns false when the lease has ended, or is of an earlier era */
	renew(): Promise<boolean>;
	/** Ends the lease; one of an earlier era is left to expire. */
	end(): Promise<void>;
};

/** Obtains a lease. */
export const grantStoreLease = async (
	store: prefixStore.PrefixStore,
	ttlMs: number,
): Promise<StoreLease> => {
	// The era before the call, since the era may rise before the response arrives.
	const eraBefore = store.era.current;
	const id = await store.grantLease(ttlMs);
	const era = eraBefore ?? store.era.current;
	const isCurrent = () => store.era.current === era;

	return {
		async put(key, value) {
			if (isCurrent()) {
				await store.putLeased(key, value, id);
			}

			if (!isCurrent()) {
				throw new Error(`lease of era ${era} in a store of era ${store.era.current}`);
			}
		},
		renew: async () => isCurrent() && (await store.renewLease(id)) && isCurrent(),
		async end() {
			if (isCurrent()) {
				await store.endLease(id);
			}
		},
	};
};
