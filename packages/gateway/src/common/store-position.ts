/**
 * Positions in the history of the store. A store that is restored from a copy gives out
 * the same revisions again, so a revision means something only with its era, which rises
 * with each restore. A position is one number whose order is that of the history, and
 * daemons that know no eras can compare it as a revision.
 */
import * as zod from 'zod';

/** An era and a revision, packed; compare positions with {@link isAfter}. */
export const storePositionSchema = zod.number();
export type StorePosition = zod.infer<typeof storePositionSchema>;

const revisionsPerEra = 2 ** 40;
/** Largest era whose positions are exact numbers. */
export const maxEra = 8000;

/** Before any change. */
export const start: StorePosition = 0;

/**
 * Creates a position.
 *
 * @param era undefined if the store does not name its era
 */
export const create = (era: number | undefined, revision: number): StorePosition =>
	era === undefined ? revision : (era + 1) * revisionsPerEra + revision;

/** Era of a position; undefined if the store did not name it, or if a daemon without eras reported the position. */
export const eraOf = (position: StorePosition): number | undefined =>
	position < revisionsPerEra ? undefined : Math.floor(position / revisionsPerEra) - 1;

export const revisionOf = (position: StorePosition): number => position % revisionsPerEra;

/** Whether the first position has changes that the second one lacks. Without both eras, their revisions decide. */
export const isAfter = (position: StorePosition, other: StorePosition): boolean => {
	const isComparable = eraOf(position) !== undefined || eraOf(other) === undefined;
	return isComparable ? position > other : revisionOf(position) > revisionOf(other);
};

/** The later of two positions; it keeps a known era. */
export const latest = (position: StorePosition, other: StorePosition): StorePosition => {
	if (!isAfter(other, position)) {
		return position;
	}

	return create(eraOf(other) ?? eraOf(position), revisionOf(other));
};

/** Whether the store was restored between two positions. */
export const isRestored = (before: StorePosition, after: StorePosition): boolean =>
	(eraOf(after) ?? 0) > (eraOf(before) ?? Number.POSITIVE_INFINITY);
