/**
 * View of one daemon on all members, as a pure state machine. The view is the
 * greatest claim for each name in the order (incarnation, sequence, rank), so
 * merging is commutative and idempotent and views converge.
 *
 * A suspicion names the last sequence that the accuser knew. Any heartbeat with
 * a higher sequence refutes it, whoever heard it, so a daemon that cannot hear
 * the suspicion itself is not removed as long as others hear it. The
 * incarnation stays the same through a refutation, since idempotency keys name
 * it; it is raised only when a peer remembers an earlier life as higher.
 */
import * as event from '@hawthornfront/base/common/event.js';
import * as claim from '@hawthornfront/protocol/common/claim.js';
import type * as identity from '@hawthornfront/protocol/common/identity.js';
import type * as fleetSettings from './fleet-settings.js';
import * as hash from './hash.js';

/** A member as given to the rest of the daemon; removed members are not listed. */
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

type Change = {remaining: number; isFull: boolean};

/** What became of a claim. */
export type ClaimResult = 'news' | 'refreshed' | 'stale' | 'refute' | 'unknown';

export type Membership = {
	readonly onDidChange: event.Event<void>;
	self(): claim.Claim;
	/** Starts a new heartbeat and gives its sequence. */
	beat(): number;
	setSelf(change: Partial<Pick<claim.Claim, 'state' | 'isWatching'>>): void;
	apply(item: claim.Claim, nowMs: number): ClaimResult;
	applyShort(item: claim.ShortClaim, nowMs: number): ClaimResult;
	/** Suspects a member at the last sequence known here. */
	suspect(name: string, nowMs: number): void;
	/** Removes a member of a failure domain that fell silent. */
	remove(name: string, nowMs: number): void;
	/** Ends suspicions and forgets removed members. */
	expire(nowMs: number): void;
	/** Moves all deadlines after this daemon itself was paused. */
	postpone(durationMs: number): void;
	/** Changes that the next datagram carries. */
	takeChanges(limit: number): {claims: claim.Claim[]; shortClaims: claim.ShortClaim[]};
	/** Claims of all members and removed members, of one failure domain if named. */
	claims(failureDomain?: string): claim.Claim[];
	claimOf(name: string): claim.Claim | undefined;
	members(): readonly Member[];
	/** Removed members of the own failure domain that are not yet forgotten. */
	lost(): claim.Claim[];
	/** Digest of the live members, of one failure domain if named. */
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

const isSamePlace = (left: identity.MemberInfo, right: identity.MemberInfo): boolean =>
	left.httpAddress === right.httpAddress &&
	left.datagramAddress === right.datagramAddress &&
	left.failureDomain === right.failureDomain &&
	left.region === right.region;

/** Part of one member in the digest; suspicion does not change it, removal does. */
const digestPart = ({member, state}: claim.Claim): number =>
	isLive(state) ? hash.hash32(`${member.name}#${member.incarnation}`) : 0;

const digestSpan = 2 ** 32;
const wrap = (value: number): number => ((value % digestSpan) + digestSpan) % digestSpan;

/** Creates the view of a daemon that knows only itself. */
export const createMembership = (
	self: identity.MemberInfo,
	settings: Pick<fleetSettings.FleetSettings, 'suspicionMs' | 'forgetMs'>,
): Membership => {
	const didChange = event.createEmitter<void>();
	const entries = new Map<string, Entry>();
	const changes = new Map<string, Change>();
	const digests = new Map<string, number>();
	const counters = {suspicions: 0, removals: 0, refutations: 0};
	let selfClaim: claim.Claim = {member: self, sequence: 1, state: 'alive', isWatching: false};
	let cachedMembers: readonly Member[] | undefined;

	const addToDigest = (item: claim.Claim, sign: 1 | -1) => {
		const {failureDomain} = item.member;
		digests.set(failureDomain, wrap((digests.get(failureDomain) ?? 0) + sign * digestPart(item)));
	};

	// Each change is sent often enough to reach all members with high probability.
	const transmissions = () => 2 * Math.ceil(Math.log2(entries.size + 2));

	const enqueue = (name: string, isFull: boolean) => {
		const pending = changes.get(name);
		changes.delete(name);
		changes.set(name, {
			remaining: transmissions(),
			isFull: isFull || (pending?.isFull ?? false),
		});
	};

	const noteChange = () => {
		cachedMembers = undefined;
		didChange.fire();
	};

	const store = (item: claim.Claim, nowMs: number) => {
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

	const put = (item: claim.Claim, nowMs: number): ClaimResult => {
		const previous = entries.get(item.member.name)?.claim;
		const hasMoved = !previous || !isSamePlace(previous.member, item.member);
		const isNews =
			hasMoved ||
			previous.member.incarnation !== item.member.incarnation ||
			previous.state !== item.state ||
			previous.isWatching !== item.isWatching;
		countTransition(previous, item.state);
		store(item, nowMs);
		if (!isNews) {
			return 'refreshed';
		}

		const isNewLife = previous?.member.incarnation !== item.member.incarnation;
		enqueue(item.member.name, hasMoved || isNewLife || !isLive(previous.state));
		noteChange();
		return 'news';
	};

	const applyToSelf = (item: claim.ShortClaim): ClaimResult => {
		const {incarnation} = selfClaim.member;
		if (item.incarnation < incarnation) {
			return 'stale';
		}

		if (item.incarnation > incarnation || item.sequence > selfClaim.sequence) {
			// An earlier life is remembered as higher: its clock was ahead of ours.
			const member = {...selfClaim.member, incarnation: item.incarnation + 1};
			selfClaim = {...selfClaim, member, sequence: 1};
		} else if (claim.rankOf(item.state) <= claim.rankOf(selfClaim.state)) {
			return 'refreshed';
		} else {
			selfClaim = {...selfClaim, sequence: selfClaim.sequence + 1};
		}

		counters.refutations++;
		store(selfClaim, 0);
		enqueue(self.name, true);
		noteChange();
		return 'refute';
	};

	const noteStale = (known: claim.Claim, item: claim.ShortClaim) => {
		// Whoever holds the lower claim learns the higher one by the way that claims spread.
		const differs = isLive(known.state) !== isLive(item.state) || item.state === 'suspect';
		if (differs && known.state !== item.state && !changes.has(item.name)) {
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
			return isLive(item.state) ? put(item, nowMs) : 'stale';
		}

		if (claim.compareClaims(short, shorten(known)) > 0) {
			return put(item, nowMs);
		}

		noteStale(known, short);
		return 'stale';
	};

	const changeState = (name: string, state: claim.MemberState, nowMs: number) => {
		const known = entries.get(name)?.claim;
		if (known && name !== self.name && claim.rankOf(known.state) < claim.rankOf(state)) {
			put({...known, state}, nowMs);
		}
	};

	const toMember = ({member, state, isWatching}: claim.Claim): Member => ({
		...member,
		state: state as Member['state'],
		isWatching,
		isSelf: member.name === self.name,
	});

	store(selfClaim, 0);
	enqueue(self.name, true);

	return {
		onDidChange: didChange.event,
		self: () => selfClaim,
		beat() {
			selfClaim = {...selfClaim, sequence: selfClaim.sequence + 1};
			entries.set(self.name, {claim: selfClaim, sinceMs: 0});
			return selfClaim.sequence;
		},
		setSelf(change) {
			selfClaim = {...selfClaim, ...change, sequence: selfClaim.sequence + 1};
			store(selfClaim, 0);
			enqueue(self.name, false);
			noteChange();
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
				// A new life may have moved, and only a full claim gives its addresses.
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
					changes.delete(name);
				}
			}
		},
		postpone(durationMs) {
			for (const entry of entries.values()) {
				entry.sinceMs += durationMs;
			}
		},
		takeChanges(limit) {
			const taken = {claims: [] as claim.Claim[], shortClaims: [] as claim.ShortClaim[]};
			for (const [name, change] of [...changes].slice(0, limit)) {
				const item = entries.get(name)?.claim;
				changes.delete(name);
				if (!item) {
					continue;
				}

				if (change.isFull) {
					taken.claims.push(item);
				} else {
					taken.shortClaims.push(shorten(item));
				}

				if (change.remaining > 1) {
					changes.set(name, {...change, remaining: change.remaining - 1});
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
		lost: () =>
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
