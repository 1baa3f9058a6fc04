/**
 * Claims about the state of a member, exchanged by gossip. Claims are ordered,
 * and every daemon keeps the greatest claim that it has received for each name.
 * The views of all daemons therefore converge even if messages are reordered,
 * lost or duplicated.
 */
import * as zod from 'zod';
import * as identity from './identity.js';

/**
 * States in ascending rank. Of two claims with the same incarnation and sequence,
 * the higher rank wins. A member announces `left` in its final claim about itself.
 */
export const memberStates = ['alive', 'stopping', 'suspect', 'dead', 'left'] as const;
export const memberStateSchema = zod.enum(memberStates);
export type MemberState = zod.infer<typeof memberStateSchema>;

export const claimSchema = zod.object({
	member: identity.memberInfoSchema,
	/** Heartbeat number within the incarnation; only the member itself increments it. */
	sequence: zod.number().int().nonnegative(),
	state: memberStateSchema,
	/** True while the member has a working store watch. */
	isWatching: zod.boolean(),
});
export type Claim = zod.infer<typeof claimSchema>;

/** A claim without location and addresses, for receivers that already have them. */
export type ShortClaim = {
	name: string;
	incarnation: number;
	sequence: number;
	state: MemberState;
	isWatching: boolean;
};

export const rankOf = (state: MemberState): number => memberStates.indexOf(state);

/** Orders claims; the result is positive when the left claim is greater. */
export const compareClaims = (
	left: Pick<ShortClaim, 'incarnation' | 'sequence' | 'state'>,
	right: Pick<ShortClaim, 'incarnation' | 'sequence' | 'state'>,
): number =>
	left.incarnation - right.incarnation ||
	left.sequence - right.sequence ||
	rankOf(left.state) - rankOf(right.state);
