/**
 * What one daemon says about the state of a member. Claims are ordered, and
 * every daemon keeps the greatest claim it has seen for each name, so views
 * converge whatever the order, loss or duplication of messages.
 */
import * as zod from 'zod';
import * as identity from './identity.js';

/**
 * States in rising rank. Of two claims with one incarnation and sequence the
 * higher rank wins. `left` is said by the member itself as its last word.
 */
export const memberStates = ['alive', 'stopping', 'suspect', 'dead', 'left'] as const;
export const memberStateSchema = zod.enum(memberStates);
export type MemberState = zod.infer<typeof memberStateSchema>;

export const claimSchema = zod.object({
	member: identity.memberInfoSchema,
	/** Heartbeat number inside the incarnation; the member alone raises it. */
	sequence: zod.number().int().nonnegative(),
	state: memberStateSchema,
	/** True while the member holds a working store watch. */
	isWatching: zod.boolean(),
});
export type Claim = zod.infer<typeof claimSchema>;

/** A claim without the places of the member, for receivers that know them. */
export type ShortClaim = {
	name: string;
	incarnation: number;
	sequence: number;
	state: MemberState;
	isWatching: boolean;
};

/** Rank of a state in the order of claims. */
export const rankOf = (state: MemberState): number => memberStates.indexOf(state);

/** Positive when the left claim is greater. */
export const compareClaims = (
	left: Pick<ShortClaim, 'incarnation' | 'sequence' | 'state'>,
	right: Pick<ShortClaim, 'incarnation' | 'sequence' | 'state'>,
): number =>
	left.incarnation - right.incarnation ||
	left.sequence - right.sequence ||
	rankOf(left.state) - rankOf(right.state);
