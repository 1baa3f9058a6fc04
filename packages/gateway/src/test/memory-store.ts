/** In-memory store with outages, lost history and restores, whose values are the gateway's own types. */
import type * as clock from '@hawthornfront/base/common/clock.js';
import * as prefixStore from '../common/prefix-store.js';
import * as routeConfig from '../common/route-config.js';
import * as upstreamEntry from '../common/upstream-entry.js';

type Value = {value: Uint8Array; revision: number; lease?: string};
type Lease = {endsAtMs: number; ttlMs: number};

/** Content of the store at one moment. */
export type StoreCopy = {
	values: ReadonlyMap<string, Value>;
	leases: ReadonlyMap<string, Lease>;
	leaseCount: number;
	revision: number;
};

export class MemoryPrefixStore extends prefixStore.PrefixStore {
	isUnavailable = false;
	calls = 0;
	listCalls = 0;
	readonly #clock: clock.Clock;
	readonly #values = new Map<string, Value>();
	readonly #leases = new Map<string, Lease>();
	readonly #wakeCallbacks = new Set<() => void>();
	#events: prefixStore.StoreEvent[] = [];
	#oldestRevision = 0;
	#revision = 1;
	#leaseCount = 0;
	#era = 1;

	constructor(timeSource: clock.Clock) {
		super();
		this.#clock = timeSource;
	}

	write(key: string, value: unknown, lease?: string): void {
		const bytes =
			value instanceof Uint8Array ? value : new TextEncoder().encode(JSON.stringify(value));
		this.#revision++;
		this.#values.set(key, {value: bytes, revision: this.#revision, lease});
		this.#notifyWatchers({key, revision: this.#revision, value: bytes});
	}

	remove(key: string): void {
		this.#revision++;
		this.#values.delete(key);
		this.#notifyWatchers({key, revision: this.#revision});
	}

	/** Makes changes that no watch reports, and drops the history after them. */
	dropHistory(change: () => void): void {
		const waiting = [...this.#wakeCallbacks];
		this.#wakeCallbacks.clear();
		change();
		this.#events = [];
		this.#oldestRevision = this.#revision;
		for (const wake of waiting) {
			wake();
		}
	}

	copy(): StoreCopy {
		return {
			values: new Map(this.#values),
			leases: new Map([...this.#leases].map(([id, lease]) => [id, {...lease}])),
			leaseCount: this.#leaseCount,
			revision: this.#revision,
		};
	}

	/** Returns to a copy; revisions and leases are given out again. Watches that wait are not cut. */
	restore(copy: StoreCopy): void {
		this.#era++;
		this.#values.clear();
		for (const [key, value] of copy.values) {
			this.#values.set(key, value);
		}

		this.#leases.clear();
		for (const [id, lease] of copy.leases) {
			this.#leases.set(id, {...lease});
		}

		this.#leaseCount = copy.leaseCount;
		this.#revision = copy.revision;
		this.#events = this.#events.filter(({revision}) => revision <= copy.revision);
	}

	override async list(prefix: string): Promise<prefixStore.StoreListing> {
		this.listCalls++;
		this.#beginCall();
		this.#expireLeases();
		const items = [...this.#values]
			.filter(([key]) => key.startsWith(prefix))
			.map(([key, {value, revision}]) => ({key, value, revision}));
		return {items, revision: this.#revision, era: this.era.note(String(this.#era))};
	}

	override async watch(
		prefix: string,
		afterRevision: number,
		waitMs: number,
		signal?: AbortSignal,
	): Promise<prefixStore.StoreChanges> {
		this.#beginCall();
		const untilMs = this.#clock.nowMs() + waitMs;
		for (;;) {
			signal?.throwIfAborted();
			if (this.isUnavailable) {
				throw new Error('unavailable');
			}

			const era = this.era.note(String(this.#era));
			if (afterRevision < this.#oldestRevision || afterRevision > this.#revision) {
				return {kind: 'history-lost'};
			}

			const events = this.#events.filter(
				(event) => event.key.startsWith(prefix) && event.revision > afterRevision,
			);
			if (events.length > 0 || this.#clock.nowMs() >= untilMs) {
				return {kind: 'events', events, revision: this.#revision, era};
			}

			await this.#nextChange(untilMs);
		}
	}

	override async putLeased(key: string, value: Uint8Array, lease: string): Promise<void> {
		this.#beginCall();
		this.write(key, value, lease);
	}

	override async grantLease(ttlMs: number): Promise<string> {
		this.#beginCall();
		const lease = String(++this.#leaseCount);
		this.#leases.set(lease, {endsAtMs: this.#clock.nowMs() + ttlMs, ttlMs});
		return lease;
	}

	override async renewLease(lease: string): Promise<boolean> {
		this.#beginCall();
		this.#expireLeases();
		const known = this.#leases.get(lease);
		if (known) {
			known.endsAtMs = this.#clock.nowMs() + known.ttlMs;
		}

		return known !== undefined;
	}

	override async endLease(lease: string): Promise<void> {
		this.#beginCall();
		this.#removeLease(lease);
	}

	#beginCall(): void {
		this.calls++;
		if (this.isUnavailable) {
			throw new Error('unavailable');
		}

		this.era.note(String(this.#era));
	}

	#notifyWatchers(event: prefixStore.StoreEvent): void {
		this.#events.push(event);
		for (const wake of this.#wakeCallbacks) {
			wake();
		}
	}

	async #nextChange(untilMs: number): Promise<void> {
		const pollMs = 50;
		await new Promise<void>((resolve) => {
			const wake = () => {
				this.#wakeCallbacks.delete(wake);
				timer.dispose();
				resolve();
			};

			const timer = this.#clock.setTimer(wake, Math.min(pollMs, untilMs - this.#clock.nowMs()));
			this.#wakeCallbacks.add(wake);
		});
	}

	#expireLeases(): void {
		for (const [lease, {endsAtMs}] of this.#leases) {
			if (endsAtMs <= this.#clock.nowMs()) {
				this.#removeLease(lease);
			}
		}
	}

	#removeLease(lease: string): void {
		this.#leases.delete(lease);
		for (const [key, value] of this.#values) {
			if (value.lease === lease) {
				this.remove(key);
			}
		}
	}
}

const parse = (value: Uint8Array): unknown => JSON.parse(new TextDecoder().decode(value));

/** Key layout of the tests. */
export class MemoryLayout extends prefixStore.StoreLayout {
	override readonly configPrefix = 'ops/';
	override readonly upstreamPrefix = 'servers/';
	override readonly memberPrefix = 'hf/members/';
	override readonly quarantinePrefix = 'hf/quarantine/';

	override decodeOperatorItem(
		key: string,
		value: Uint8Array,
	): prefixStore.OperatorItem | undefined {
		const failureDomain = this.evacuatedDomainOf(key);
		return failureDomain === undefined
			? {kind: 'config', config: routeConfig.routeConfigSchema.parse(parse(value))}
			: {kind: 'evacuation', failureDomain};
	}

	override decodeUpstream(_key: string, value: Uint8Array): upstreamEntry.UpstreamEntry {
		return upstreamEntry.upstreamEntrySchema.parse(parse(value));
	}

	override upstreamIdOf(key: string): string {
		return key.slice(this.upstreamPrefix.length);
	}

	override evacuatedDomainOf(key: string): string | undefined {
		const prefix = 'ops/leave/';
		return key.startsWith(prefix) ? key.slice(prefix.length) : undefined;
	}
}
