/** Access to the platform's store by key prefix. */
import type * as routeConfig from './route-config.js';
import type * as upstreamEntry from './upstream-entry.js';

export type StoreItem = {key: string; value: Uint8Array; revision: number};

/** A key as it was written, or its removal. */
export type StoreEvent = {key: string; revision: number; value?: Uint8Array};

/** All keys of a prefix at about one time, and the revision of the listing. */
export type StoreListing = {items: StoreItem[]; revision: number};

export type StoreChanges =
	| {kind: 'events'; events: StoreEvent[]; revision: number}
	/** The store no longer has the history; the prefix must be listed again. */
	| {kind: 'history-lost'};

/** Part of the platform's store. All methods throw PlatformError. */
export abstract class PrefixStore {
	/** @param mayBeStale allows an answer that is some seconds old and costs less */
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

	/** Decodes a key under the prefix of the configuration. @throws Error for a value that cannot be used */
	abstract decodeOperatorItem(key: string, value: Uint8Array): OperatorItem | undefined;

	/** Decodes a key under the prefix of upstreams. @throws Error for a value that cannot be used */
	abstract decodeUpstream(key: string, value: Uint8Array): upstreamEntry.UpstreamEntry;

	/** Id of the upstream to which a key belongs. */
	abstract upstreamIdOf(key: string): string;

	/** Failure domain whose evacuation a key asks for; undefined for other keys. */
	abstract evacuatedDomainOf(key: string): string | undefined;
}

export type OperatorItem =
	{kind: 'config'; config: routeConfig.RouteConfig} | {kind: 'evacuation'; failureDomain: string};
