/** In-memory key-value store on a given clock; a test can inject a fault into each call. */
import type * as clock from '@hawthornfront/base/common/clock.js';
import * as keyValueStore from '../common/key-value-store.js';

const lateEffectMs = 700;

/**
 * `refused`: the call reports that it had no effect. `dropped`: the request is
 * lost. `lost`: the call takes effect, but the response is lost. `late`: the
 * response is lost and the call takes effect later.
 */
export type StoreFault = 'none' | 'refused' | 'dropped' | 'lost' | 'late';

export const withFault = async <T>(
	fault: StoreFault,
	timeSource: clock.Clock,
	name: string,
	effect: () => Promise<T> | T,
): Promise<T> => {
	if (fault === 'late') {
		timeSource.setTimer(() => {
			void effect();
		}, lateEffectMs);
	}

	const result = fault === 'none' || fault === 'lost' ? await effect() : undefined;
	if (fault === 'none') {
		return result as T;
	}

	throw new keyValueStore.PlatformError(name, fault, fault !== 'refused');
};

export type StoreCall = {operation: string; key: string; caller: string};

type State = {
	revision: number;
	leases: number;
	values: Map<string, keyValueStore.KeyValue>;
	leaseEnds: Map<string, {endMs: number; ttlMs: number}>;
	/** All writes in order, for assertions. */
	history: keyValueStore.KeyValue[];
};

/** Client of one caller; several clients can share one state. */
export class FakeKeyValueStore extends keyValueStore.KeyValueStore {
	chooseFault: (call: StoreCall) => StoreFault = () => 'none';
	/** Delay before a call takes effect. */
	chooseDelayMs: (call: StoreCall) => number = () => 0;
	/** Delay between the effect and the response. */
	chooseAnswerMs: (call: StoreCall, answer: unknown) => number = () => 0;
	readonly calls: StoreCall[] = [];
	readonly #clock: clock.Clock;
	readonly #caller: string;
	readonly #state: State;

	constructor(clock: clock.Clock, caller = '', shared?: FakeKeyValueStore) {
		super();
		this.#clock = clock;
		this.#caller = caller;
		this.#state = shared
			? shared.#state
			: {revision: 0, leases: 0, values: new Map(), leaseEnds: new Map(), history: []};
	}

	get history(): readonly keyValueStore.KeyValue[] {
		return this.#state.history;
	}

	/** Reads a value without recording a call, for assertions. */
	peek(key: string): keyValueStore.KeyValue | undefined {
		this.#endLeases();
		return this.#state.values.get(key);
	}

	override async get(key: string) {
		return this.#call('get', key, () => this.#state.values.get(key));
	}

	override async list(prefix: string) {
		return this.#call('list', prefix, () =>
			[...this.#state.values.values()]
				.filter((value) => value.key.startsWith(prefix))
				.map(({key, revision}) => ({key, revision})),
		);
	}

	override async compareAndSwap(
		key: string,
		value: string,
		expectedRevision: number,
		options: {leaseId?: string} = {},
	) {
		return this.#call('compareAndSwap', key, (): keyValueStore.PutResult => {
			const {leaseId} = options;
			const current = this.#state.values.get(key);
			const isLeaseOver = leaseId !== undefined && !this.#state.leaseEnds.has(leaseId);
			if ((current?.revision ?? 0) !== expectedRevision || isLeaseOver) {
				return {kind: 'conflict', current};
			}

			const written = {key, value, revision: ++this.#state.revision, leaseId};
			this.#state.values.set(key, written);
			this.#state.history.push(written);
			return {kind: 'written', revision: written.revision};
		});
	}

	override async compareAndDelete(key: string, expectedRevision: number) {
		return this.#call('compareAndDelete', key, () => {
			const isCurrent = this.#state.values.get(key)?.revision === expectedRevision;
			return isCurrent && this.#state.values.delete(key);
		});
	}

	/** Responds immediately; a test that waits advances the clock instead. */
	override async watch(key: string, afterRevision: number) {
		return this.#call('watch', key, () => {
			const found = this.#state.values.get(key);
			return found && found.revision > afterRevision ? found : undefined;
		});
	}

	override async grantLease(ttlMs: number) {
		return this.#call('grantLease', '', () => {
			const number = ++this.#state.leases;
			const leaseId = `lease-${number}`;
			this.#state.leaseEnds.set(leaseId, {endMs: this.#clock.nowMs() + ttlMs, ttlMs});
			return {leaseId, number, ttlMs};
		});
	}

	override async renewLease(leaseId: string) {
		return this.#call('renewLease', leaseId, () => {
			const lease = this.#state.leaseEnds.get(leaseId);
			if (lease) {
				lease.endMs = this.#clock.nowMs() + lease.ttlMs;
			}

			return lease !== undefined;
		});
	}

	override async revokeLease(leaseId: string) {
		await this.#call('revokeLease', leaseId, () => {
			this.#state.leaseEnds.delete(leaseId);
			this.#endLeases();
		});
	}

	async #call<T>(operation: string, key: string, effect: () => T): Promise<T> {
		const call = {operation, key, caller: this.#caller};
		this.calls.push(call);
		const delayMs = this.chooseDelayMs(call);
		if (delayMs > 0) {
			await this.#clock.sleep(delayMs);
		}

		const name = `store ${operation}`;
		const answer = await withFault(this.chooseFault(call), this.#clock, name, () => {
			this.#endLeases();
			return effect();
		});
		const answerMs = this.chooseAnswerMs(call, answer);
		if (answerMs > 0) {
			await this.#clock.sleep(answerMs);
		}

		return answer;
	}

	#endLeases(): void {
		const nowMs = this.#clock.nowMs();
		for (const [leaseId, lease] of this.#state.leaseEnds) {
			if (lease.endMs <= nowMs) {
				this.#state.leaseEnds.delete(leaseId);
			}
		}

		for (const value of this.#state.values.values()) {
			if (value.leaseId !== undefined && !this.#state.leaseEnds.has(value.leaseId)) {
				this.#state.values.delete(value.key);
			}
		}
	}
}
