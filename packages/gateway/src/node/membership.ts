/**
 * Discovery through the store: daemons that others must find register themselves under a
 * lease, and each daemon reads the list of members after its start. Later only registered
 * daemons and those without live peers read it, when gossip reaches the others.
 */
import type * as clock from '@hawthornfront/base/common/clock.js';
import * as disposable from '@hawthornfront/base/common/disposable.js';
import * as errorText from '@hawthornfront/base/common/error-text.js';
import type * as fleetView from '../common/fleet-view.js';
import * as gossipMessage from '../common/gossip-message.js';
import type * as gatewayEvent from '../common/gateway-event.js';
import type * as prefixStore from '../common/prefix-store.js';
import * as storeLease from '../common/store-lease.js';

export type Membership = {
	/** Removes this daemon from the list of members. */
	leave(): Promise<void>;
	dispose(): void;
};

export type MembershipOptions = {
	clock: clock.Clock;
	random(): number;
	store: prefixStore.PrefixStore;
	prefix: string;
	leaseMs: number;
	fleet: fleetView.FleetView;
	log: gatewayEvent.EventLog;
	self(): gossipMessage.MemberRecord;
	/** Whether others must find this daemon in the store. */
	isEntryPoint(): boolean;
	/** A registration or renewal failed, which can reveal an outage of the store long before a pending watch does. */
	onStoreFailure(): void;
};

/** Delays of the first reads; they are short because many daemons may start and register at the same time. */
const earlyReadDelaysMs = [600, 1500, 3000];
/** Time in which a daemon that starts finds peers by its seeds, before it knows whether others must find it. */
const firstRegistrationDelayMs = 500;
const laterReadDelayMs = 15_000;
const retryDelayMs = 1000;
const renewalsPerLease = 3;

/** Starts registering this daemon and reading the list of members. */
export const startMembership = (options: MembershipOptions): Membership => {
	const {clock, store, fleet, log} = options;
	const abort = new AbortController();
	let lease: storeLease.StoreLease | undefined;

	const noteFailure = (error: unknown) => {
		const detail = errorText.errorText(error, errorText.maxLoggedLength);
		log.note({kind: 'store-lost', feed: 'members', detail});
	};

	const register = async () => {
		const granted = await storeLease.grantStoreLease(store, options.leaseMs);
		const self = options.self();
		const value = new TextEncoder().encode(JSON.stringify(self));
		await granted.put(`${options.prefix}${self.name}`, value);
		lease = granted;
	};

	const unregister = async () => {
		if (lease !== undefined) {
			const ended = lease;
			lease = undefined;
			await ended.end();
		}
	};

	const keepRegistered = async () => {
		await clock.sleep(firstRegistrationDelayMs * (0.8 + options.random() * 0.4));
		while (!abort.signal.aborted) {
			let delayMs = options.leaseMs / renewalsPerLease;
			try {
				if (!options.isEntryPoint()) {
					await unregister();
					delayMs = retryDelayMs;
				} else if (lease === undefined || !(await lease.renew())) {
					await register();
				}
			} catch (error) {
				noteFailure(error);
				options.onStoreFailure();
				delayMs = retryDelayMs;
			}

			await clock.sleep(delayMs * (0.8 + options.random() * 0.4));
		}
	};

	const readMembers = async () => {
		const listing = await store.list(options.prefix, true, abort.signal);
		for (const {key, value} of listing.items) {
			try {
				const text = new TextDecoder().decode(value);
				const record = gossipMessage.memberRecordSchema.parse(JSON.parse(text));
				fleet.noteStoreMember(record);
			} catch (error) {
				const detail = errorText.errorText(error, errorText.maxLoggedLength);
				log.note({kind: 'entry-rejected', key, revision: listing.revision, detail});
			}
		}
	};

	const keepReading = async () => {
		for (let round = 0; !abort.signal.aborted; round++) {
			const delayMs = earlyReadDelaysMs[round] ?? laterReadDelayMs;
			await clock.sleep(delayMs * (0.8 + options.random() * 0.4));
			const isEarly = round < earlyReadDelaysMs.length;
			if (!isEarly && !options.isEntryPoint() && fleet.hasLivePeers()) {
				continue;
			}

			try {
				await readMembers();
			} catch (error) {
				if (!abort.signal.aborted) {
					noteFailure(error);
				}
			}
		}
	};

	void keepRegistered();
	void keepReading();
	const lifetime = disposable.toDisposable(() => {
		abort.abort(new Error('stopped'));
	});
	return {
		async leave() {
			lifetime.dispose();
			if (lease !== undefined) {
				try {
					await lease.end();
				} catch (error) {
					// The lease expires on its own.
					noteFailure(error);
				}
			}
		},
		dispose() {
			lifetime.dispose();
		},
	};
};
