/**
 * The lease that makes one placer of a region the holder. Its validity is
 * measured on the monotonic clock from before the call that granted or renewed
 * it, so it ends here before it ends in the store, whatever the answer took.
 */
import type * as clock from '@hawthornfront/base/common/clock.js';
import type * as keyValueStore from '@hawthornfront/platform/common/key-value-store.js';
import * as zod from 'zod';

const holderSchema = zod.object({
	holder: zod.string(),
	number: zod.number(),
	leaseId: zod.string(),
});

/** Store key of the holder of a region. */
export const holderKey = (region: string): string => `placer/${region}/holder`;

export type LeadershipContext = {
	clock: clock.Clock;
	store: keyValueStore.KeyValueStore;
	region: string;
	/** Name of this placer. */
	holder: string;
	ttlMs: number;
	/** Part of the lease at its end in which nothing is sent any more. */
	marginMs: number;
	/** Time between two looks at a lease that another placer holds. */
	standbyMs: number;
};

export type Leadership = {
	/** One step: takes a free lease or renews the own one. Never rejects. */
	step(): Promise<void>;
	/** Fencing number while well inside the lease; undefined otherwise. Ask right before each send. */
	fencing(): number | undefined;
	/** Time left in which something may be sent; 0 without a lease. */
	remainingMs(): number;
	/** Ends the lease early, so that another placer need not wait for its end. */
	release(): Promise<void>;
	/** Store calls that failed. */
	readonly failedCalls: number;
};

type HeldLease = {leaseId: string; number: number; endMs: number};

/** Creates a leadership that holds nothing yet. */
export const createLeadership = (context: LeadershipContext): Leadership => {
	const {clock: timeSource, store, marginMs} = context;
	const key = holderKey(context.region);
	let held: HeldLease | undefined;
	let failedCalls = 0;
	let lookAgainAtMs = 0;

	const revoke = async (leaseId: string) => {
		try {
			await store.revokeLease(leaseId);
		} catch {
			// The lease ends by itself.
			failedCalls++;
		}
	};

	const isOwn = (found: keyValueStore.KeyValue | undefined, leaseId: string): boolean => {
		if (!found) {
			return false;
		}

		const holder = holderSchema.safeParse(JSON.parse(found.value));
		return holder.success && holder.data.leaseId === leaseId;
	};

	/** Whether the holder key is now attached to this lease. A lost answer is settled by reading. */
	const claim = async (lease: keyValueStore.Lease): Promise<boolean> => {
		const {leaseId, number} = lease;
		const value = JSON.stringify({holder: context.holder, number, leaseId});
		try {
			const result = await store.compareAndSwap(key, value, 0, {leaseId});
			return result.kind === 'written' || isOwn(result.current, leaseId);
		} catch {
			failedCalls++;
			return isOwn(await store.get(key), leaseId);
		}
	};

	const acquire = async () => {
		if (timeSource.nowMs() < lookAgainAtMs) {
			return;
		}

		if (await store.get(key)) {
			lookAgainAtMs = timeSource.nowMs() + context.standbyMs;
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
				// A lease that could not be renewed stays valid until its end here.
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
