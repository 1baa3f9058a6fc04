/**
 * Membership view of one daemon, as a pure state machine. The view keeps the
 * greatest claim for each name in the order (incarnation, sequence, rank), so
 * merging is commutative and idempotent, and views converge.
 *
 * A suspicion carries the last sequence that its sender had seen. Any heartbeat
 * with a higher sequence refutes it, whichever peer receives the heartbeat, so a
 * daemon that does not receive the suspicion stays a member while others still
 * receive its heartbeats. A refutation keeps the incarnation, since idempotency
 * keys contain it. The incarnation rises only when a peer holds a higher one
 * from an earlier run of the daemon.
 */
import * as event from '@hawthornfront/base/common/event.js';
import * as claim from '@hawthornfront/protocol/common/claim.js';
import type * as identity from '@hawthornfront/protocol/common/identity.js';
import type * as fleetSettings from './fleet-settings.js';
import * as hash from './hash.js';

/** A member that has not been removed, as exposed to the rest of the daemon. */
export type Member = identity.MemberInfo & {
	state: 'alive' | 'stopping' | 'suspect';
	isSelf: boolean;
	isWatching: boolean;
};

type Entry = {
	claim: claim.Claim;
	/** When the current state was entered. */
	sinceMs: number;
};

type PendingChange = {remaining: number; isFull: boolean};

/** Result of applying a claim. */
export type ClaimResult = 'news' | 'refreshed' | 'stale' | 'refute' | 'unknown';

export type Membership = {
	readonly onDidChange: event.Event<void>;
	self(): claim.Claim;
	/** Increments the sequence for a new heartbeat and returns it. */
	incrementSequence(): number;
	setSelf(change: Partial<Pick<claim.Claim, 'state' | 'isWatching'>>): void;
	apply(item: claim.Claim, nowMs: number): ClaimResult;
	applyShort(item: claim.ShortClaim, nowMs: number): ClaimResult;
	/** Suspects a member at the last sequence in this view. */
	suspect(name: string, nowMs: number): void;
	/** Removes a member of a failure domain that stopped sending summaries. */
	remove(name: string, nowMs: number): void;
	/** Removes members whose suspicion timed out and forgets members removed long ago. */
	expire(nowMs: number): void;
	/** Extends all deadlines after a pause of this process. */
	extendDeadlines(durationMs: number): void;
	/** Takes the changes for the next datagram. */
	takeChanges(limit: number): {claims: claim.Claim[]; shortClaims: claim.ShortClaim[]};
	/** Claims about all members, removed ones included, optionally of one failure domain. */
	claims(failureDomain?: string): claim.Claim[];
	claimOf(name: string): claim.Claim | undefined;
	members(): readonly Member[];
	/** Removed members of the local failure domain that are not yet forgotten. */
	removedInDomain(): claim.Claim[];
	/** Digest of the live members, optionally of one failure domain. */
	digest(failureDomain?: string): number;
	digests(): Record<string, number>;
	counters(): {suspicions: number; removals: number; refutations: number};
	size(): number;
};

const isLive = (state: claim.MemberState): state is Member['state'] =>
	state === 'alive' || state === 'stopping' || state === 'suspect';

const shorten = ({member, ...rest}: claim.Claim): claim.ShortClaim => ({
	name: member.name,
	incarnation: member.incarnation,
	...rest,
});

const hasSameLocation = (left: identity.MemberInfo, right: identity.MemberInfo): boolean =>
	left.httpAddress === right.httpAddress &&
	left.datagramAddress === right.datagramAddress &&
	left.failureDomain === right.failureDomain &&
	left.region === right.region;

/** Contribution of one member to the digest; removal changes it, suspicion does not. */
const digestPart = ({member, state}: claim.Claim): number =>
	isLive(state) ? hash.hash32(`${member.name}#${member.incarnation}`) : 0;

const digestSpan = 2 ** 32;
const wrap = (value: number): number => ((value % digestSpan) + digestSpan) % digestSpan;

/** Creates a view that contains only the daemon itself. */
export const createMembership = (
	self: identity.MemberInfo,
	settings: Pick<fleetSettings.FleetSettings, 'suspicionMs' | 'forgetMs'>,
): Membership => {
	const didChange = event.createEmitter<void>();
	const entries = new Map<string, Entry>();
	const pendingChanges = new Map<string, PendingChange>();
	const digests = new Map<string, number>();
	const counters = {suspicions: 0, removals: 0, refutations: 0};
	let selfClaim: claim.Claim = {member: self, sequence: 1, state: 'alive', isWatching: false};
	let cachedMembers: readonly Member[] | undefined;

	const addToDigest = (item: claim.Claim, sign: 1 | -1) => {
		const {failureDomain} = item.member;
		digests.set(failureDomain, wrap((digests.get(failureDomain) ?? 0) + sign * digestPart(item)));
	};

	// Each change is sent often enough to reach all members with high probability.
	const transmissionCount = () => 2 * Math.ceil(Math.log2(entries.size + 2));

	const enqueue = (name: string, isFull: boolean) => {
		const pending = pendingChanges.get(name);
		pendingChanges.delete(name);
		pendingChanges.set(name, {
			remaining: transmissionCount(),
			isFull: isFull || (pending?.isFull ?? false),
		});
	};

	const invalidateMembers = () => {
		cachedMembers = undefined;
		didChange.fire();
	};

	const storeClaim = (item: claim.Claim, nowMs: number) => {
		const previous = entries.get(item.member.name);
		if (previous) {
			addToDigest(previous.claim, -1);
		}

		addToDigest(item, 1);
		const isSameState = previous?.claim.state === item.state;
		entries.set(item.member.name, {claim: item, sinceMs: isSameState ? previous.sinceMs : nowMs});
	};

	const countTransition = (previous: claim.Claim | undefined, next: claim.MemberState) => {
		if (next === 'suspect' && previous?.state !== 'suspect') {
			counters.suspicions++;
		} else if (next === 'dead' && previous?.state !== 'dead') {
			counters.removals++;
		}
	};

	const putClaim = (item: claim.Claim, nowMs: number): ClaimResult => {
		const previous = entries.get(item.member.name)?.claim;
		const hasMoved = !previous || !hasSameLocation(previous.member, item.member);
		const isChanged =
			hasMoved ||
			previous.member.incarnation !== item.member.incarnation ||
			previous.state !== item.state ||
			previous.isWatching !== item.isWatching;
		countTransition(previous, item.state);
		storeClaim(item, nowMs);
		if (!isChanged) {
			return 'refreshed';
		}

		const isNewIncarnation = previous?.member.incarnation !== item.member.incarnation;
		enqueue(item.member.name, hasMoved || isNewIncarnation || !isLive(previous.state));
		invalidateMembers();
		return 'news';
	};

	const applyToSelf = (item: claim.ShortClaim): ClaimResult => {
		const {incarnation} = selfClaim.member;
		if (item.incarnation < incarnation) {
			return 'stale';
		}

		if (item.incarnation > incarnation || item.sequence > selfClaim.sequence) {
			// The claim stems from an earlier run of this daemon whose clock was ahead.
			const member = {...selfClaim.member, incarnation: item.incarnation + 1};
			selfClaim = {...selfClaim, member, sequence: 1};
		} else if (claim.rankOf(item.state) <= claim.rankOf(selfClaim.state)) {
			return 'refreshed';
		} else {
			selfClaim = {...selfClaim, sequence: selfClaim.sequence + 1};
		}

		counters.refutations++;
		storeClaim(selfClaim, 0);
		enqueue(self.name, true);
		invalidateMembers();
		return 'refute';
	};

	const correctStaleClaim = (known: claim.Claim, item: claim.ShortClaim) => {
		// Gossip carries the higher claim to the peers that still hold the lower one.
		const differs = isLive(known.state) !== isLive(item.state) || item.state === 'suspect';
		if (differs && known.state !== item.state && !pendingChanges.has(item.name)) {
			enqueue(item.name, false);
		}
	};

	const apply = (item: claim.Claim, nowMs: number): ClaimResult => {
		const short = shorten(item);
		if (short.name === self.name) {
			return applyToSelf(short);
		}

		const known = entries.get(short.name)?.claim;
		if (!known) {
			return isLive(item.state) ? putClaim(item, nowMs) : 'stale';
		}

		if (claim.compareClaims(short, shorten(known)) > 0) {
			return putClaim(item, nowMs);
		}

		correctStaleClaim(known, short);
		return 'stale';
	};

	const changeState = (name: string, state: claim.MemberState, nowMs: number) => {
		const known = entries.get(name)?.claim;
		if (known && name !== self.name && claim.rankOf(known.state) < claim.rankOf(state)) {
			putClaim({...known, state}, nowMs);
		}
	};

	const toMember = ({member, state, isWatching}: claim.Claim): Member => ({
		...member,
		state: state as Member['state'],
		isWatching,
		isSelf: member.name === self.name,
	});

	storeClaim(selfClaim, 0);
	enqueue(self.name, true);

	return {
		onDidChange: didChange.event,
		self: () => selfClaim,
		incrementSequence() {
			selfClaim = {...selfClaim, sequence: selfClaim.sequence + 1};
			entries.set(self.name, {claim: selfClaim, sinceMs: 0});
			return selfClaim.sequence;
		},
		setSelf(change) {
			selfClaim = {...selfClaim, ...change, sequence: selfClaim.sequence + 1};
			storeClaim(selfClaim, 0);
			enqueue(self.name, false);
			invalidateMembers();
		},
		apply,
		applyShort(item, nowMs) {
			if (item.name === self.name) {
				return applyToSelf(item);
			}

			const known = entries.get(item.name)?.claim;
			if (!known) {
				return isLive(item.state) ? 'unknown' : 'stale';
			}

			if (item.incarnation > known.member.incarnation && isLive(item.state)) {
				// A restarted daemon may have moved, and only a full claim carries its addresses.
				return 'unknown';
			}

			const {name, incarnation, ...rest} = item;
			return apply({member: {...known.member, incarnation}, ...rest}, nowMs);
		},
		suspect(name, nowMs) {
			changeState(name, 'suspect', nowMs);
		},
		remove(name, nowMs) {
			changeState(name, 'dead', nowMs);
		},
		expire(nowMs) {
			for (const [name, {claim: item, sinceMs}] of entries) {
				if (item.state === 'suspect' && nowMs - sinceMs >= settings.suspicionMs) {
					changeState(name, 'dead', nowMs);
				} else if (!isLive(item.state) && nowMs - sinceMs >= settings.forgetMs) {
					entries.delete(name);
					pendingChanges.delete(name);
				}
			}
		},
		extendDeadlines(durationMs) {
			for (const entry of entries.values()) {
				entry.sinceMs += durationMs;
			}
		},
		takeChanges(limit) {
			const taken = {claims: [] as claim.Claim[], shortClaims: [] as claim.ShortClaim[]};
			for (const [name, change] of [...pendingChanges].slice(0, limit)) {
				const item = entries.get(name)?.claim;
				pendingChanges.delete(name);
				if (!item) {
					continue;
				}

				if (change.isFull) {
					taken.claims.push(item);
				} else {
					taken.shortClaims.push(shorten(item));
				}

				if (change.remaining > 1) {
					pendingChanges.set(name, {...change, remaining: change.remaining - 1});
				}
			}

			return taken;
		},
		claims: (failureDomain) =>
			[...entries.values()]
				.map((entry) => entry.claim)
				.filter(
					({member}) => failureDomain === undefined || member.failureDomain === failureDomain,
				),
		claimOf: (name) => entries.get(name)?.claim,
		members() {
			cachedMembers ??= [...entries.values()]
				.map((entry) => entry.claim)
				.filter(({state}) => isLive(state))
				.map((item) => toMember(item))
				.sort((left, right) => (left.name < right.name ? -1 : 1));
			return cachedMembers;
		},
		removedInDomain: () =>
			[...entries.values()]
				.map((entry) => entry.claim)
				.filter(
					({member, state}) => state === 'dead' && member.failureDomain === self.failureDomain,
				),
		digest(failureDomain) {
			if (failureDomain !== undefined) {
				return digests.get(failureDomain) ?? 0;
			}

			let digest = 0;
			for (const part of digests.values()) {
				digest = wrap(digest + part);
			}

			return digest;
		},
		digests: () => Object.fromEntries(digests),
		counters: () => ({...counters}),
		size: () => entries.size,
	};
};
