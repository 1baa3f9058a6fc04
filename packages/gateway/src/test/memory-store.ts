/** In-memory store with outages and lost history, whose values are the gateway's own types. */
import type * as clock from '@hawthornfront/base/common/clock.js';
import * as prefixStore from '../common/prefix-store.js';
import * as routeConfig from '../common/route-config.js';
import * as upstreamEntry from '../common/upstream-entry.js';

type Value = {value: Uint8Array; revision: number; lease?: string};

export class MemoryPrefixStore extends prefixStore.PrefixStore {
	isUnavailable = false;
	calls = 0;
	readonly #clock: clock.Clock;
	readonly #values = new Map<string, Value>();
	readonly #leases = new Map<string, {endsAtMs: number; ttlMs: number}>();
	readonly #wakeCallbacks = new Set<() => void>();
	#events: prefixStore.StoreEvent[] = [];
	#oldestRevision = 0;
	#revision = 1;

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

	override async list(prefix: string): Promise<prefixStore.StoreListing> {
		this.#beginCall();
		this.#expireLeases();
		const items = [...this.#values]
			.filter(([key]) => key.startsWith(prefix))
			.map(([key, {value, revision}]) => ({key, value, revision}));
		return {items, revision: this.#revision};
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

			if (afterRevision < this.#oldestRevision) {
				return {kind: 'history-lost'};
			}

			const events = this.#events.filter(
				(event) => event.key.startsWith(prefix) && event.revision > afterRevision,
			);
			if (events.length > 0 || this.#clock.nowMs() >= untilMs) {
				return {kind: 'events', events, revision: this.#revision};
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
		const lease = String(this.#leases.size + 1);
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
