/**
 * Rendezvous hashing with MurmurHash3. All daemons order the same names in the same way
 * without coordination. Removing a name reassigns only the keys that it owned.
 */
import * as murmurhash from 'murmurhash';

const twoTo32 = 2 ** 32;

/** Whole number below 2^32, the same for the same text on every daemon. */
export const hash32 = (text: string): number => murmurhash.default.v3(text);

/** Uniform in (0, 1], the same for the same key and name on every daemon. */
export const uniform = (key: string, name: string): number =>
	(hash32(`${key}\n${name}`) + 1) / twoTo32;

/** Rank of a name for a key; the share of keys that a name wins is proportional to its weight. */
export const rank = (key: string, name: string, weight = 1): number => {
	// -weight / ln(u) is the usual form of weighted rendezvous hashing; u = 1 wins over all.
	const logarithm = Math.log(uniform(key, name));
	return logarithm === 0 ? Number.POSITIVE_INFINITY : -weight / logarithm;
};

/** Orders items from the highest rank to the lowest; equal ranks are ordered by name. */
export const order = <Item extends {name: string; weight?: number}>(
	key: string,
	items: readonly Item[],
): Item[] => {
	const ranked = items.map((item) => ({item, rank: rank(key, item.name, item.weight)}));
	ranked.sort((a, b) => b.rank - a.rank || (a.item.name < b.item.name ? -1 : 1));
	return ranked.map(({item}) => item);
};
