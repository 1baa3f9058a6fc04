/**
 * Leader lease of the placers of a region. Its validity counts on the monotonic
 * clock from the start of the call that granted or renewed it. The lease therefore
 * expires locally before it expires in the store, however late the answer arrives.
 */
import type * as clock from '@hawthornfront/base/common/clock.js';
import type * as keyValueStore from '@hawthornfront/platform/common/key-value-store.js';
import * as zod from 'zod';

const holderSchema = zod.object({
	holder: zod.string(),
	number: zod.number(),
	leaseId: zod.string(),
});

/** Store key of the lease holder of a region. */
export const holderKey = (region: string): string => `placer/${region}/holder`;

export type LeadershipContext = {
	clock: clock.Clock;
	store: keyValueStore.KeyValueStore;
	region: string;
	/** Name of this placer. */
	holder: string;
	ttlMs: number;
	/** Last part of the lease, in which no order is sent. */
	marginMs: number;
	/** Time between two checks of a lease that another placer holds. */
	standbyMs: number;
};

export type Leadership = {
	/** Acquires a free lease or renews the held one. Never rejects. */
	step(): Promise<void>;
	/** Fencing number until the margin of the lease starts, otherwise undefined. Read it right before each send. */
	fencing(): number | undefined;
	/** Time left in which orders may be sent; 0 without a lease. */
	remainingMs(): number;
	/** Revokes the lease, so that another placer can acquire it without waiting for its expiry. */
	release(): Promise<void>;
	/** Number of failed store calls. */
	readonly failedCalls: number;
};

type HeldLease = {leaseId: string; number: number; endMs: number};

/** Creates a leadership without a lease. */
export const createLeadership = (context: LeadershipContext): Leadership => {
	const {clock: timeSource, store, marginMs} = context;
	const key = holderKey(context.region);
	let held: HeldLease | undefined;
	let failedCalls = 0;
	let nextAcquireAtMs = 0;

	const revoke = async (leaseId: string) => {
		try {
			await store.revokeLease(leaseId);
		} catch {
			// The lease expires in the store.
			failedCalls++;
		}
	};

	const isClaimedBy = (found: keyValueStore.KeyValue | undefined, leaseId: string): boolean => {
		if (!found) {
			return false;
		}

		const holder = holderSchema.safeParse(JSON.parse(found.value));
		return holder.success && holder.data.leaseId === leaseId;
	};

	/** Attaches the holder key to this lease if the key is free. After a lost answer, reads the key to find the result. */
	const claim = async (lease: keyValueStore.Lease): Promise<boolean> => {
		const {leaseId, number} = lease;
		const value = JSON.stringify({holder: context.holder, number, leaseId});
		try {
			const result = await store.compareAndSwap(key, value, 0, {leaseId});
			return result.kind === 'written' || isClaimedBy(result.current, leaseId);
		} catch {
			failedCalls++;
			return isClaimedBy(await store.get(key), leaseId);
		}
	};

	const acquire = async () => {
		if (timeSource.nowMs() < nextAcquireAtMs) {
			return;
		}

		if (await store.get(key)) {
			nextAcquireAtMs = timeSource.nowMs() + context.standbyMs;
			return;
		}

		const startMs = timeSource.nowMs();
		const lease = await store.grantLease(context.ttlMs);
		let isClaimed = false;
		try {
			isClaimed = await claim(lease);
		} finally {
			if (!isClaimed) {
				await revoke(lease.leaseId);
			}
		}

		if (isClaimed) {
			const endMs = startMs + lease.ttlMs;
			held = {leaseId: lease.leaseId, number: lease.number, endMs};
		}
	};

	const renew = async (lease: HeldLease) => {
		const startMs = timeSource.nowMs();
		if (startMs >= lease.endMs) {
			held = undefined;
			return;
		}

		const isRenewed = await store.renewLease(lease.leaseId);
		if (held !== lease) {
			return;
		}

		held = isRenewed ? {...lease, endMs: startMs + context.ttlMs} : undefined;
	};

	const remainingMs = () => (held ? Math.max(0, held.endMs - marginMs - timeSource.nowMs()) : 0);

	return {
		async step() {
			try {
				await (held ? renew(held) : acquire());
			} catch {
				// A lease that could not be renewed stays valid until its local expiry.
				failedCalls++;
			}
		},
		fencing: () => (remainingMs() > 0 ? held?.number : undefined),
		remainingMs,
		async release() {
			const lease = held;
			held = undefined;
			if (lease) {
				await revoke(lease.leaseId);
			}
		},
		get failedCalls() {
			return failedCalls;
		},
	};
};
