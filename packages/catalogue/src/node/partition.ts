/**
 * Splits records into parts. The JSON text of 14,000 teams is about 1.6 MB, and
 * a value in the store is limited to 1 MB. An edit rewrites only the parts that
 * it changes.
 */
import * as crypto from 'node:crypto';
import type * as schema from '../common/schema.js';

/** Number of partitions. An edit of one record sends one part to every daemon, about 13 KB for 14,000 teams. */
export const partitionCount = 128;

/** A part and the digest under which it is stored. */
export type Part = {
	partition: number;
	digest: string;
	/** JSON text of the records. */
	text: string;
};

const sha256 = (text: string): string => crypto.createHash('sha256').update(text).digest('hex');

/** Digest under which the JSON text of a part is stored. */
export const digestOf = (text: string): string => sha256(text);

/** Partition of a record, by a hash of its kind and name. */
export const partitionOf = (record: {kind: string; name: string}): number =>
	Number.parseInt(sha256(`${record.kind}/${record.name}`).slice(0, 8), 16) % partitionCount;

/** Splits records into parts. The digests do not depend on the order of the records. */
export const splitIntoParts = (records: Iterable<schema.CatalogueRecord>): Part[] => {
	const groups = new Map<number, schema.CatalogueRecord[]>();
	for (const record of records) {
		const partition = partitionOf(record);
		const group = groups.get(partition) ?? [];
		group.push(record);
		groups.set(partition, group);
	}

	return [...groups.entries()]
		.sort(([left], [right]) => left - right)
		.map(([partition, group]) => {
			group.sort((left, right) =>
				`${left.kind}/${left.name}` < `${right.kind}/${right.name}` ? -1 : 1,
			);
			const text = JSON.stringify(group);
			return {partition, digest: digestOf(text), text};
		});
};
