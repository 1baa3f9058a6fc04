/** In-memory key-value store and VM list with faults; implements only what the fleet uses. */
import type * as clockService from '@hawthornfront/base/common/clock.js';
import * as keyValueStore from '@hawthornfront/platform/common/key-value-store.js';
import * as platformServices from '@hawthornfront/platform/common/platform-services.js';

/** `down` refuses calls, `silent` never answers, `slow` answers after `slowMs`. */
export type StoreMode = 'up' | 'down' | 'silent' | 'slow';

type Waiter = {key: string; afterRevision: number; resolve: () => void};

const service = 'memory store';

/** Store shared by the fleets of one process. */
export class MemoryStore extends keyValueStore.KeyValueStore {
	mode: StoreMode = 'up';
	slowMs = 0;
	/** When set, reads return this value instead of the current one, as from a lagging replica. */
	laggingRoot: keyValueStore.KeyValue | undefined;
	calls = 0;
	readonly #clock: clockService.Clock;
	readonly #values = new Map<string, keyValueStore.KeyValue>();
	readonly #waiters = new Set<Waiter>();
	#revision = 0;

	constructor(clock: clockService.Clock) {
		super();
		this.#clock = clock;
	}

	/** Writes unconditionally and wakes the watches of the key. */
	put(key: string, value: string): number {
		this.#revision++;
		this.#values.set(key, {key, value, revision: this.#revision});
		for (const waiter of this.#waiters) {
			if (waiter.key === key) {
				waiter.resolve();
			}
		}

		return this.#revision;
	}

	override async get(key: string, signal?: AbortSignal) {
		await this.#enter(signal);
		return this.#read(key);
	}

	override async watch(key: string, afterRevision: number, waitMs: number, signal?: AbortSignal) {
		await this.#enter(signal);
		const current = this.#read(key);
		if (current && (current.revision > afterRevision || this.laggingRoot)) {
			return current;
		}

		await this.#wait(key, afterRevision, waitMs);
		const found = this.#read(key);
		return found && found.revision > afterRevision ? found : undefined;
	}

	override async list(): Promise<never> {
		throw new keyValueStore.PlatformError(service, 'list is not implemented', false);
	}

	override async compareAndSwap(): Promise<never> {
		throw new keyValueStore.PlatformError(service, 'writes are not implemented', false);
	}

	override async compareAndDelete(): Promise<never> {
		throw new keyValueStore.PlatformError(service, 'writes are not implemented', false);
	}

	override async grantLease(): Promise<never> {
		throw new keyValueStore.PlatformError(service, 'leases are not implemented', false);
	}

	override async renewLease(): Promise<never> {
		throw new keyValueStore.PlatformError(service, 'leases are not implemented', false);
	}

	override async revokeLease(): Promise<never> {
		throw new keyValueStore.PlatformError(service, 'leases are not implemented', false);
	}

	#read(key: string): keyValueStore.KeyValue | undefined {
		return this.laggingRoot?.key === key ? this.laggingRoot : this.#values.get(key);
	}

	async #enter(signal?: AbortSignal): Promise<void> {
		this.calls++;
		if (this.mode === 'down') {
			throw new keyValueStore.PlatformError(service, 'no connection', false);
		}

		if (this.mode === 'silent') {
			await new Promise<never>((_resolve, reject) => {
				signal?.addEventListener('abort', () => {
					reject(new keyValueStore.PlatformError(service, 'no answer', true));
				});
			});
		}

		if (this.mode === 'slow') {
			// The sleep ignores the signal, so the answer arrives even after the caller timed out.
			await this.#clock.sleep(this.slowMs);
		}
	}

	async #wait(key: string, afterRevision: number, waitMs: number): Promise<void> {
		await new Promise<void>((resolve) => {
			const waiter: Waiter = {
				key,
				afterRevision,
				resolve: () => {
					timer.dispose();
					this.#waiters.delete(waiter);
					resolve();
				},
			};
			const timer = this.#clock.setTimer(waiter.resolve, waitMs);
			this.#waiters.add(waiter);
		});
	}
}

/** VM list that returns `vms`, or fails while `isDown`. */
export class MemoryVmList extends platformServices.VmList {
	vms: platformServices.Vm[] = [];
	isDown = false;
	calls = 0;

	override async list() {
		this.calls++;
		if (this.isDown) {
			throw new keyValueStore.PlatformError('memory VM list', 'no connection', false);
		}

		return this.vms;
	}
}
