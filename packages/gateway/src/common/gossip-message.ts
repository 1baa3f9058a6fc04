/**
 * Gossip datagrams between daemons: members, load by upstream, expected waits by
 * region, prompt prefixes. Packed as arrays to keep them small, since a message is
 * sent several times a second.
 */
import * as ownText from '@hawthornfront/base/common/own-text.js';
import * as hash from '@hawthornfront/decisions/common/hash.js';
import * as msgpackr from 'msgpackr';
import * as zod from 'zod';
import * as partEvidence from './part-evidence.js';
import * as promptCacheView from './prompt-cache-view.js';
import type * as promptQuarantine from './prompt-quarantine.js';
import * as teamUsage from './team-usage.js';
import type * as upstreamLoad from './upstream-load.js';
import type * as upstreamRateLimits from './upstream-rate-limits.js';
import * as storePosition from './store-position.js';
import * as storeWatcherElection from './store-watcher-election.js';
import type * as upstreamWarmth from './upstream-warmth.js';

/** Longest name of a member, a region, a failure domain, an address, an upstream or a service in a message; that of DNS names. */
export const maxNameLength = 255;
const nameSchema = zod.string().max(maxNameLength);

const maxPort = 65_535;

/** `host:port`, to which a datagram can be sent. */
const addressSchema = nameSchema.refine((text) => {
	const port = /.:(\d{1,5})$/u.exec(text)?.[1];
	return port !== undefined && Number(port) > 0 && Number(port) <= maxPort;
}, 'expected a host and a port');

export const memberRecordSchema = zod.object({
	name: nameSchema,
	region: nameSchema,
	failureDomain: nameSchema,
	/** `host:port` at which callers connect. */
	callerAddress: addressSchema,
	/** `host:port` for forwarded requests and datagrams of other daemons. */
	peerAddress: addressSchema,
	/** Unix time of its start; distinguishes two starts. */
	startedAtUnixMs: zod.number(),
	/** It serves callers. */
	isReady: zod.boolean(),
	/** It is stopping and accepts no new work. */
	isLeaving: zod.boolean(),
	/** Version of its route configuration; 0 without one. */
	configVersion: zod.number(),
	/** Position in the store up to which it has applied changes of upstreams. */
	upstreamRevision: storePosition.storePositionSchema,
	/** Position in the store up to which it has applied changes of configuration and evacuations. */
	operatorRevision: storePosition.storePositionSchema,
	/** Position of the last change of upstreams that it knows of; a watch that has passed it must have delivered it. */
	upstreamLastChange: storePosition.storePositionSchema,
	/** Position of the last change of configuration and evacuations that it knows of. */
	operatorLastChange: storePosition.storePositionSchema,
	/** Whether it watches the store and the store responds. */
	storeContact: storeWatcherElection.storeContactSchema,
	/** Processor share of its machine, for the directory's choice. */
	capacity: zod.number(),
});
export type MemberRecord = zod.infer<typeof memberRecordSchema>;

const memberTupleSchema = zod.tuple([
	nameSchema,
	nameSchema,
	nameSchema,
	addressSchema,
	addressSchema,
	zod.number(),
	zod.boolean(),
	zod.boolean(),
	zod.number(),
	zod.number(),
	zod.number(),
	storeWatcherElection.storeContactSchema,
	zod.number(),
	zod.number(),
	zod.number(),
]);

/** Version of the layout of a message. */
const messageVersion = 8;
/** Beliefs on upstreams, by their numbers in a message. */
const beliefs = ['suspected', 'cold', 'warm'] as const satisfies upstreamWarmth.Belief[];
/** Bases of crashes, by their numbers in a message. */
const basisNumberSchema = zod.union([zod.literal(0), zod.literal(1), zod.literal(2)]);
const beliefNumberSchema = zod.union([zod.literal(0), zod.literal(1), zod.literal(2)]);
/** Unit of the ages of heartbeats, coarse so that they take one byte. */
const heartbeatUnitMs = 50;
/** Prompt parts that a message may name; more than the shortest ids that it has room for. */
const maxPartReports = 4096;
/** Shares are sent in thousandths. */
const shareUnits = 1000;

const messageSchema = zod.tuple([
	zod.literal(messageVersion),
	/** The sender. */
	memberTupleSchema,
	/** Other members, each with the milliseconds since its last heartbeat. */
	zod.array(zod.tuple([memberTupleSchema, zod.number()])),
	/** Requests by upstream id; null: no update. */
	zod
		.array(zod.tuple([zod.string(), zod.number(), zod.number(), zod.number(), zod.number()]))
		.nullable(),
	/** Region, service, expected waits of urgent and other work (null: no upstream), age. */
	zod.array(
		zod.tuple([
			zod.string(),
			zod.string(),
			zod.number().nullable(),
			zod.number().nullable(),
			zod.number(),
		]),
	),
	/** Last part of a prompt prefix, and the runner that was sent it. */
	zod.array(zod.tuple([zod.string(), zod.string()])),
	/** Whether a relay sends the message to its failure domain. */
	zod.boolean(),
	/** Member id and units since its last heartbeat, alternating. */
	zod.array(zod.number()),
	/** Service, prompt parts, time since their last answer, number of their quarantines, crashes, time since a request was refused for them. */
	zod.array(
		zod.tuple([
			zod.string(),
			zod.array(zod.string()),
			zod.number().nullable(),
			zod.number(),
			zod.array(
				zod.tuple([zod.number(), zod.number(), zod.number(), zod.boolean(), basisNumberSchema]),
			),
			zod.number().nullable(),
		]),
	),
	/** Upstream id, requests a second (null: no limit any more), age. */
	zod.array(zod.tuple([zod.string(), zod.number().nullable(), zod.number()])),
	/** Upstream id, belief, time since its evidence, time for which the upstream stays cold, number of the evidence. */
	zod.array(
		zod.tuple([zod.string(), beliefNumberSchema, zod.number(), zod.number(), zod.number()]),
	),
	/** Ids of members whose records the sender lacks. */
	zod.array(zod.number()),
	/** Mean age, thousandths of the daemons that were not heard, then team, requested and admitted amounts a second, thousandths of its quota that are reserved for silent daemons; null: no update. */
	zod
		.tuple([
			zod.number(),
			zod.number(),
			zod.array(zod.tuple([zod.string(), zod.number(), zod.number(), zod.number()])),
		])
		.nullable(),
]);

export type GossipMessage = {
	sender: MemberRecord;
	others: Array<{record: MemberRecord; ageMs: number}>;
	/**
	 * Requests by upstream: those of the sender in messages to the relays of its failure
	 * domain, the sum of the region in messages of a relay to its failure domain, the sum
	 * of its failure domain in messages to other domains of the region. Undefined: the
	 * last report still applies.
	 */
	loads?: upstreamLoad.LoadByUpstream[];
	outlooks: Array<{
		region: string;
		service: string;
		/** Infinite when the region has no usable upstream. */
		urgentMs: number;
		otherMs: number;
		ageMs: number;
	}>;
	promptPrefixes: promptCacheView.SentPromptPrefix[];
	/** Sent by a relay to its failure domain. */
	isRelayed: boolean;
	/** Members that are alive; their records are sent less often. */
	heartbeats: Heartbeat[];
	/** Prompt parts that may crash upstreams. */
	partReports: promptQuarantine.PartReport[];
	/** Rate limits that upstreams of the sender's region name. */
	rateLimits: upstreamRateLimits.RateLimitReport[];
	/** Upstreams of the sender's region that may have restarted, are cold, or are warm again. */
	warmth: upstreamWarmth.WarmthReport[];
	/** Ids of members whose records the sender lacks and asks for. */
	wantedMembers: number[];
	/**
	 * Use of teams: that of the sender in messages to the relays of its failure domain, that of
	 * all daemons in messages of a relay to its failure domain, that of its failure domain in
	 * messages to other domains. Undefined: the last report still applies.
	 */
	teamUse?: teamUsage.UseReport;
};

export type Heartbeat = {memberId: number; ageMs: number};

/** Short id of one start of a member; two members of a deployment share one with a chance of 1 in 50,000 at 400 members. */
export const memberId = ({
	name,
	startedAtUnixMs,
}: Pick<MemberRecord, 'name' | 'startedAtUnixMs'>): number =>
	hash.hash32(`${name}\n${startedAtUnixMs}`);

const packMember = (record: MemberRecord): zod.infer<typeof memberTupleSchema> => [
	record.name,
	record.region,
	record.failureDomain,
	record.callerAddress,
	record.peerAddress,
	record.startedAtUnixMs,
	record.isReady,
	record.isLeaving,
	record.configVersion,
	record.upstreamRevision,
	record.operatorRevision,
	record.storeContact,
	record.capacity,
	record.upstreamLastChange,
	record.operatorLastChange,
];

/** Copies a text, since one of a datagram may refer to the whole datagram. */
const own = (text: string): string => ownText.ownText(text, maxNameLength);

const isName = (text: string): boolean => text.length <= maxNameLength;

const unpackMember = (tuple: zod.infer<typeof memberTupleSchema>): MemberRecord => ({
	name: own(tuple[0]),
	region: own(tuple[1]),
	failureDomain: own(tuple[2]),
	callerAddress: own(tuple[3]),
	peerAddress: own(tuple[4]),
	startedAtUnixMs: tuple[5],
	isReady: tuple[6],
	isLeaving: tuple[7],
	configVersion: tuple[8],
	upstreamRevision: tuple[9],
	operatorRevision: tuple[10],
	storeContact: tuple[11],
	capacity: tuple[12],
	upstreamLastChange: tuple[13],
	operatorLastChange: tuple[14],
});

const packWait = (waitMs: number) => (Number.isFinite(waitMs) ? Math.round(waitMs) : null);

const packAge = (ageMs: number | undefined) => (ageMs === undefined ? null : Math.round(ageMs));

/** Parts of which the same is known share one entry, since a prompt may have thousands. */
const packPartReports = (reports: readonly promptQuarantine.PartReport[]): unknown[] => {
	const partsByEvidence = new Map<
		string,
		{service: string; partIds: string[]; evidence: unknown[]}
	>();
	for (const report of reports) {
		const evidence = [
			packAge(report.answeredAgeMs),
			report.quarantines,
			report.crashes.map((crash) => [
				crash.upstreamKey,
				Math.round(crash.ageMs),
				Math.round(crash.sentBeforeMs),
				crash.wasAnswering,
				partEvidence.crashBases.indexOf(crash.basis),
			]),
			packAge(report.refusedAgeMs),
		];
		const {service, partId} = report;
		const key = JSON.stringify([service, evidence]);
		const same = partsByEvidence.get(key) ?? {service, partIds: [], evidence};
		same.partIds.push(partId);
		partsByEvidence.set(key, same);
	}

	return [...partsByEvidence.values()].map(({service, partIds, evidence}) => [
		service,
		partIds,
		...evidence,
	]);
};

/** Packs a message into one datagram. */
export const encodeGossip = (message: GossipMessage): Uint8Array =>
	msgpackr.pack([
		messageVersion,
		packMember(message.sender),
		message.others.map(({record, ageMs}) => [packMember(record), Math.round(ageMs)]),
		message.loads?.map((load) => [
			load.upstreamId,
			load.requests,
			Math.round(load.urgentReadTokens),
			Math.round(load.otherReadTokens),
			Math.round(load.memoryTokens),
		]) ?? null,
		message.outlooks.map((outlook) => [
			outlook.region,
			outlook.service,
			packWait(outlook.urgentMs),
			packWait(outlook.otherMs),
			Math.round(outlook.ageMs),
		]),
		message.promptPrefixes.map(({partId, runner}) => [partId, runner]),
		message.isRelayed,
		message.heartbeats.flatMap((heartbeat) => [
			heartbeat.memberId,
			Math.round(heartbeat.ageMs / heartbeatUnitMs),
		]),
		packPartReports(message.partReports),
		message.rateLimits.map(({upstreamId, requestsPerS, ageMs}) => [
			upstreamId,
			requestsPerS ?? null,
			Math.round(ageMs),
		]),
		message.warmth.map(({upstreamId, belief, ageMs, coldLeftMs, evidence}) => [
			upstreamId,
			beliefs.indexOf(belief),
			Math.round(ageMs),
			Math.round(coldLeftMs),
			evidence,
		]),
		message.wantedMembers,
		message.teamUse
			? [
					Math.round(message.teamUse.ageMs),
					Math.round(message.teamUse.unheardShare * shareUnits),
					message.teamUse.uses.map((use) => [
						use.team,
						Math.round(use.requestedPerS),
						Math.round(use.admittedPerS),
						Math.round(use.silentShare * shareUnits),
					]),
				]
			: null,
	]);

const unpackShare = (units: number): number => Math.min(1, Math.max(0, units / shareUnits));

const unpackTeamUse = ([ageMs, unheardShare, uses]: NonNullable<
	zod.infer<typeof messageSchema>[12]
>): teamUsage.UseReport => ({
	ageMs: Math.max(0, ageMs),
	unheardShare: unpackShare(unheardShare),
	uses: uses
		.filter(([team]) => isName(team))
		.slice(0, teamUsage.maxTeamsPerReport)
		.map(([team, requestedPerS, admittedPerS, silentShare]) => ({
			team: own(team),
			requestedPerS: Math.max(0, requestedPerS),
			admittedPerS,
			silentShare: unpackShare(silentShare),
		})),
});

/** Unpacks a datagram. @throws Error for bytes that are no message of this version */
export const decodeGossip = (bytes: Uint8Array): GossipMessage => {
	const [
		,
		sender,
		others,
		loads,
		outlooks,
		promptPrefixes,
		isRelayed,
		heartbeats,
		partReports,
		rateLimits,
		warmth,
		wantedMembers,
		teamUse,
	] = messageSchema.parse(msgpackr.unpack(bytes));
	return {
		sender: unpackMember(sender),
		others: others.map(([record, ageMs]) => ({record: unpackMember(record), ageMs})),
		loads: loads?.map(
			([upstreamId, requests, urgentReadTokens, otherReadTokens, memoryTokens]) => ({
				upstreamId,
				requests,
				urgentReadTokens,
				otherReadTokens,
				memoryTokens,
			}),
		),
		outlooks: outlooks
			.filter(([region, service]) => isName(region) && isName(service))
			.map(([region, service, urgentMs, otherMs, ageMs]) => ({
				region: own(region),
				service: own(service),
				urgentMs: urgentMs ?? Number.POSITIVE_INFINITY,
				otherMs: otherMs ?? Number.POSITIVE_INFINITY,
				ageMs,
			})),
		promptPrefixes: promptPrefixes
			.filter(([partId, runner]) => promptCacheView.isTracked(partId) && isName(runner))
			.map(([partId, runner]) => ({partId: own(partId), runner: own(runner)})),
		isRelayed,
		heartbeats: Array.from({length: Math.floor(heartbeats.length / 2)}, (_, index) => ({
			memberId: heartbeats[2 * index]!,
			ageMs: heartbeats[2 * index + 1]! * heartbeatUnitMs,
		})),
		partReports: partReports
			.filter(([service]) => isName(service))
			.flatMap(([service, partIds, ...evidence]) =>
				partIds.map((partId) => ({service, partId, evidence})),
			)
			.slice(0, maxPartReports)
			.map(({service, partId, evidence: [answeredAgeMs, quarantines, crashes, refusedAgeMs]}) => ({
				service,
				partId,
				answeredAgeMs: answeredAgeMs ?? undefined,
				quarantines,
				refusedAgeMs: refusedAgeMs ?? undefined,
				crashes: crashes.map(([upstreamKey, ageMs, sentBeforeMs, wasAnswering, basis]) => ({
					upstreamKey,
					ageMs,
					sentBeforeMs,
					wasAnswering,
					basis: partEvidence.crashBases[basis],
				})),
			})),
		rateLimits: rateLimits.map(([upstreamId, requestsPerS, ageMs]) => ({
			upstreamId,
			requestsPerS: requestsPerS ?? undefined,
			ageMs,
		})),
		warmth: warmth.map(([upstreamId, belief, ageMs, coldLeftMs, evidence]) => ({
			upstreamId,
			belief: beliefs[belief],
			ageMs,
			coldLeftMs,
			evidence,
		})),
		wantedMembers,
		teamUse: teamUse ? unpackTeamUse(teamUse) : undefined,
	};
};
