/** Access to the platform's store by key prefix. */
import type * as routeConfig from './route-config.js';
import * as storeEra from './store-era.js';
import type * as upstreamEntry from './upstream-entry.js';

export type StoreItem = {key: string; value: Uint8Array; revision: number};

/** A write of a key, or its removal if `value` is undefined. */
export type StoreEvent = {key: string; revision: number; value?: Uint8Array};

/** All keys of a prefix, not necessarily a consistent snapshot, and the revision to watch from. */
export type StoreListing = {
	items: StoreItem[];
	revision: number;
	/** Era in which the revisions were given out; undefined if the store names none. */
	era?: number;
};

export type StoreChanges =
	| {kind: 'events'; events: StoreEvent[]; revision: number; era?: number}
	/** The store no longer has the history; the prefix must be listed again. */
	| {kind: 'history-lost'};

/** The operations of the platform's store that the gateway uses. All methods throw PlatformError. */
export abstract class PrefixStore {
	/** Era of the store, as its responses name it. */
	readonly era = storeEra.createStoreEra();

	/** @param mayBeStale allows a listing that is some seconds old, which costs the store less */
	abstract list(prefix: string, mayBeStale: boolean, signal?: AbortSignal): Promise<StoreListing>;

	/** Waits up to `waitMs` for changes after a revision. */
	abstract watch(
		prefix: string,
		afterRevision: number,
		waitMs: number,
		signal?: AbortSignal,
	): Promise<StoreChanges>;

	/** Writes a key that is deleted when its lease ends. */
	abstract putLeased(key: string, value: Uint8Array, lease: string): Promise<void>;

	abstract grantLease(ttlMs: number): Promise<string>;

	/** @returns false when the lease has ended */
	abstract renewLease(lease: string): Promise<boolean>;

	abstract endLease(lease: string): Promise<void>;
}

/** Key prefixes and encodings of a deployment's store. */
export abstract class StoreLayout {
	abstract readonly configPrefix: string;
	abstract readonly upstreamPrefix: string;
	abstract readonly memberPrefix: string;
	/** Reports on prompt parts that crash upstreams. */
	abstract readonly quarantinePrefix: string;

	/** Decodes a key under the prefix of the configuration. @throws Error for a value that cannot be used */
	abstract decodeOperatorItem(key: string, value: Uint8Array): OperatorItem | undefined;

	/** Decodes a key under the prefix of upstreams. @throws Error for a value that cannot be used */
	abstract decodeUpstream(key: string, value: Uint8Array): upstreamEntry.UpstreamEntry;

	/** Id of the upstream to which a key belongs. */
	abstract upstreamIdOf(key: string): string;

	/** Failure domain that a key marks as evacuated; undefined for other keys. */
	abstract evacuatedDomainOf(key: string): string | undefined;
}

export type OperatorItem =
	{kind: 'config'; config: routeConfig.RouteConfig} | {kind: 'evacuation'; failureDomain: string};
