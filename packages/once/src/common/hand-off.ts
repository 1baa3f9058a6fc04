/**
 * Planned stop: transfers final records to the daemons that resolvers query. Records
 * without a result are left out; their witness answers `unknown` from the intent.
 */
import * as answerModule from './answer.js';
import * as key from './key.js';
import type * as ownerRecords from './owner-records.js';
import type * as witnessClient from './witness-client.js';

export type HandOffResult = {
	/** Records that a witness or another daemon holds. */
	kept: number;
	/** Records that no daemon accepted; their keys resolve to `unknown`. */
	lost: number;
};

export type HandOffOptions = {
	ownerName: string;
	records: readonly ownerRecords.OwnerRecord[];
	/** Live daemons of the failure domain. */
	others: readonly key.Peer[];
	client: witnessClient.WitnessClient;
	maxAnswerBytes: number;
};

/** Number of daemons that receive records when the witness is gone, and that resolvers query. */
export const maxFallbackPeers = 2;
const maxBatchRecords = 32; // at most about 0.7 MB with answers of 16 KB

/**
 * Returns the daemons that receive the records of an owner, in order of preference:
 * those that follow the owner in name order, so all daemons compute the same list
 * without communication.
 */
export const selectFallbackPeers = (ownerName: string, others: readonly key.Peer[]): key.Peer[] => {
	const sorted = others
		.filter((peer) => peer.name !== ownerName)
		.sort((left, right) => (left.name < right.name ? -1 : 1));
	const start = sorted.findIndex((peer) => peer.name > ownerName);
	const rotated = start > 0 ? [...sorted.slice(start), ...sorted.slice(0, start)] : sorted;
	return rotated.slice(0, maxFallbackPeers);
};

const toHandoffRecord = (
	record: ownerRecords.OwnerRecord,
	maxAnswerBytes: number,
): witnessClient.HandoffRecord => {
	const stored = record.answer && answerModule.toStored(record.answer, maxAnswerBytes);
	return {
		key: record.parsed.text,
		fingerprint: record.fingerprint,
		result:
			record.state === 'refused'
				? {outcome: 'not-run'}
				: {outcome: 'ran', ...(stored ? {answer: stored} : {})},
	};
};

/** Sends a batch to the peers in turn until one accepts all of it; false when none does. */
const sendBatch = async (
	batch: witnessClient.HandoffRecord[],
	peers: readonly key.Peer[],
	client: witnessClient.WitnessClient,
): Promise<boolean> => {
	for (const peer of peers) {
		const accepted = await client.handOff(peer, batch);
		if (accepted === batch.length) {
			return true;
		}
	}

	return false;
};

/** Transfers the records; never throws. */
export const handOffRecords = async (options: HandOffOptions): Promise<HandOffResult> => {
	const fallbacks = selectFallbackPeers(options.ownerName, options.others);
	const groups = new Map<string, {peers: key.Peer[]; records: ownerRecords.OwnerRecord[]}>();
	const result: HandOffResult = {kept: 0, lost: 0};
	for (const record of options.records) {
		const {witness} = record.parsed;
		const isWitnessAlive =
			witness !== undefined && options.others.some((peer) => key.isSameIncarnation(peer, witness));
		if (record.state === 'unknown' || (record.isWitnessed && isWitnessAlive)) {
			result.kept += record.state === 'unknown' ? 0 : 1;
			continue;
		}

		const peers = isWitnessAlive ? [witness, ...fallbacks] : fallbacks;
		const groupName = isWitnessAlive ? witness.name : '';
		const group = groups.get(groupName) ?? {peers, records: []};
		group.records.push(record);
		groups.set(groupName, group);
	}

	for (const group of groups.values()) {
		for (let start = 0; start < group.records.length; start += maxBatchRecords) {
			const batch = group.records
				.slice(start, start + maxBatchRecords)
				.map((record) => toHandoffRecord(record, options.maxAnswerBytes));
			const isAccepted = await sendBatch(batch, group.peers, options.client);
			result[isAccepted ? 'kept' : 'lost'] += batch.length;
		}
	}

	return result;
};
