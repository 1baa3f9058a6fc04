/** Rendezvous hashing: all daemons with the same list of names choose the same ones. */
import * as hash from './hash.js';

/** Orders names for a key. Removing a name leaves the relative order of the others unchanged. */
export const orderFor = (key: string, names: readonly string[]): string[] =>
	names
		.map((name) => ({name, weight: hash.hash32(`${key}/${name}`)}))
		.sort((left, right) => right.weight - left.weight || (left.name < right.name ? -1 : 1))
		.map(({name}) => name);

/** The first `count` names for a key. */
export const pickFor = (key: string, names: readonly string[], count: number): string[] =>
	orderFor(key, names).slice(0, count);
