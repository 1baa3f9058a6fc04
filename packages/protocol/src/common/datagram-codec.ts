/**
 * Encodes datagrams between entry daemons as MessagePack arrays. Every datagram
 * starts with the version and the cluster token, so that datagrams of other
 * clusters are dropped. Decoding never throws.
 */
import * as msgpackr from 'msgpackr';
import * as zod from 'zod';
import * as claim from './claim.js';
import type * as datagram from './datagram.js';

const version = 1;

const count = zod.number().int().nonnegative();
const state = zod
	.number()
	.int()
	.min(0)
	.max(claim.memberStates.length - 1);
const loadTuple = zod.tuple([
	zod.union([count, zod.string()]),
	count,
	count,
	count,
	zod.boolean(),
	zod.union([count, zod.string()]),
	zod.union([count, zod.string()]),
	count,
]);
// The model, followed by one value per work class.
const waitTuple = zod.tuple([zod.string(), count, count, count]);
const shortClaimTuple = zod.tuple([zod.string(), count, count, state, zod.boolean()]);
const claimTuple = zod.tuple([
	zod.string(),
	count,
	count,
	state,
	zod.boolean(),
	zod.string(),
	zod.string(),
	zod.string(),
	zod.string(),
]);
const senderFields = [zod.string(), count, count, count, state, zod.boolean()] as const;
const heartbeatFields = zod.tuple([
	count,
	count,
	zod.array(claimTuple),
	zod.array(shortClaimTuple),
	zod.array(loadTuple),
	zod.array(zod.string()),
	zod.array(zod.tuple([zod.string(), count, zod.array(waitTuple)])),
]);
const summaryFields = zod.tuple([zod.string(), zod.string(), count, count, zod.array(waitTuple)]);

const heartbeatTuple = zod.tuple([...senderFields, ...heartbeatFields.def.items]);
const summaryTuple = zod.tuple([...senderFields, ...summaryFields.def.items]);

type HeartbeatFields = zod.infer<typeof heartbeatFields>;
type SummaryFields = zod.infer<typeof summaryFields>;

const knownRoles = ['', 'both', 'prefill', 'decode'];
// In this unit, an age of up to 2.5 s is encoded in one byte.
const ageUnitMs = 20;
const workClasses = ['short', 'long', 'service'] as const;
const kinds = {heartbeat: 0, summary: 1} as const;
const wantsAnswerBit = 1;
const wantsStatusBit = 2;

const stateAt = (index: number): claim.MemberState => claim.memberStates[index] ?? 'alive';

const packSender = (sender: datagram.Sender) => [
	sender.name,
	sender.incarnation,
	sender.sequence,
	sender.revision,
	claim.rankOf(sender.state),
	sender.isWatching,
];

const packShortClaim = (item: claim.ShortClaim) => [
	item.name,
	item.incarnation,
	item.sequence,
	claim.rankOf(item.state),
	item.isWatching,
];

const packClaim = ({member, ...rest}: claim.Claim) => [
	...packShortClaim({name: member.name, incarnation: member.incarnation, ...rest}),
	member.region,
	member.failureDomain,
	member.httpAddress,
	member.datagramAddress,
];

/** Encodes a known role in one byte and any other role as its name. */
const packRole = (role: string): number | string => {
	const index = knownRoles.indexOf(role);
	return index === -1 ? role : index;
};

const packLoad = (load: datagram.LoadDelta) => [
	load.upstream,
	load.running,
	load.waiting,
	load.slots,
	load.leaving,
	load.model,
	packRole(load.role),
	Math.round(load.ageMs / ageUnitMs),
];

/** Creates one tuple per model. A wait is encoded as its value plus one; 0 means that there is none. */
const packWaits = (waits: readonly datagram.WaitEntry[]) => {
	const groups = new Map<string, number[]>();
	for (const {model, workClass, waitMs} of waits) {
		const group = groups.get(model) ?? workClasses.map(() => 0);
		group[workClasses.indexOf(workClass)] = waitMs + 1;
		groups.set(model, group);
	}

	return [...groups].map(([model, group]) => [model, ...group]);
};

const packBody = (item: datagram.Datagram): unknown[] =>
	item.kind === 'heartbeat'
		? [
				...packSender(item),
				(item.wantsAnswer ? wantsAnswerBit : 0) + (item.wantsStatus ? wantsStatusBit : 0),
				item.digest,
				item.claims.map((each) => packClaim(each)),
				item.shortClaims.map((each) => packShortClaim(each)),
				item.loads.map((each) => packLoad(each)),
				item.probes,
				item.regions.map(({region, ageMs, waits}) => [region, ageMs, packWaits(waits)]),
			]
		: [
				...packSender(item),
				item.region,
				item.failureDomain,
				item.digest,
				item.fullDigest,
				packWaits(item.waits),
			];

const unpackSender = ([name, incarnation, sequence, revision, rank, isWatching]: readonly [
	string,
	number,
	number,
	number,
	number,
	boolean,
	...unknown[],
]): datagram.Sender => ({name, incarnation, sequence, revision, state: stateAt(rank), isWatching});

const unpackShortClaim = ([name, incarnation, sequence, rank, isWatching]: zod.infer<
	typeof shortClaimTuple
>): claim.ShortClaim => ({name, incarnation, sequence, state: stateAt(rank), isWatching});

const unpackClaim = (tuple: zod.infer<typeof claimTuple>): claim.Claim => {
	const [name, incarnation, sequence, rank, isWatching] = tuple;
	const [region, failureDomain, httpAddress, datagramAddress] = tuple.slice(5) as string[];
	return {
		member: {
			name,
			incarnation,
			region: region!,
			failureDomain: failureDomain!,
			httpAddress: httpAddress!,
			datagramAddress: datagramAddress!,
		},
		sequence,
		state: stateAt(rank),
		isWatching,
	};
};

const unpackLoad = (tuple: zod.infer<typeof loadTuple>): datagram.LoadDelta => {
	const [upstream, running, waiting, slots, leaving, model, roleOrIndex, age] = tuple;
	const role = typeof roleOrIndex === 'string' ? roleOrIndex : (knownRoles[roleOrIndex] ?? '');
	return {upstream, running, waiting, slots, leaving, model, role, ageMs: age * ageUnitMs};
};

const unpackWaits = (tuples: Array<zod.infer<typeof waitTuple>>): datagram.WaitEntry[] =>
	tuples.flatMap(([model, ...group]) =>
		workClasses.flatMap((workClass, index) => {
			const value = group[index] ?? 0;
			return value > 0 ? [{model, workClass, waitMs: value - 1}] : [];
		}),
	);

const unpackHeartbeat = (body: unknown): datagram.Heartbeat | undefined => {
	const parsed = heartbeatTuple.safeParse(body);
	if (!parsed.success) {
		return undefined;
	}

	const [flags, digest, claims, shortClaims, loads, probes, regions] = parsed.data.slice(
		senderFields.length,
	) as HeartbeatFields;
	return {
		kind: 'heartbeat',
		...unpackSender(parsed.data),
		wantsAnswer: flags % 2 === wantsAnswerBit,
		wantsStatus: flags >= wantsStatusBit,
		digest,
		claims: claims.map((item) => unpackClaim(item)),
		shortClaims: shortClaims.map((item) => unpackShortClaim(item)),
		loads: loads.map((item) => unpackLoad(item)),
		probes,
		regions: regions.map(([region, ageMs, waits]) => ({
			region,
			ageMs,
			waits: unpackWaits(waits),
		})),
	};
};

const unpackSummary = (body: unknown): datagram.Summary | undefined => {
	const parsed = summaryTuple.safeParse(body);
	if (!parsed.success) {
		return undefined;
	}

	const [region, failureDomain, digest, fullDigest, waits] = parsed.data.slice(
		senderFields.length,
	) as SummaryFields;
	return {
		kind: 'summary',
		...unpackSender(parsed.data),
		region,
		failureDomain,
		digest,
		fullDigest,
		waits: unpackWaits(waits),
	};
};

/** Encodes and decodes datagrams of one cluster. */
export type DatagramCodec = {
	encode(item: datagram.Datagram): Uint8Array;
	/** @returns undefined for a datagram of another cluster or version, or a damaged one. */
	decode(bytes: Uint8Array): datagram.Datagram | undefined;
};

/** Creates the codec of a cluster. `token` distinguishes clusters and is not a secret. */
export const createDatagramCodec = (token: string): DatagramCodec => {
	const packr = new msgpackr.Packr({useRecords: false});
	return {
		encode: (item) => packr.pack([version, token, kinds[item.kind], ...packBody(item)]),
		decode(bytes) {
			let fields: unknown;
			try {
				fields = packr.unpack(bytes);
			} catch {
				return undefined;
			}

			if (!Array.isArray(fields) || fields[0] !== version || fields[1] !== token) {
				return undefined;
			}

			const [kind, ...body] = fields.slice(2) as unknown[];
			if (kind === kinds.heartbeat) {
				return unpackHeartbeat(body);
			}

			return kind === kinds.summary ? unpackSummary(body) : undefined;
		},
	};
};
