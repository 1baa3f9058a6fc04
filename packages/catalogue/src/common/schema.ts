/** Schemas of the catalogue, which operators edit and every daemon reads. */
import * as zod from 'zod';

const nameSchema = zod
	.string()
	.regex(/^[a-z\d][a-z\d-]{0,62}$/u, 'expected lower-case letters, digits and hyphens, at most 63');

/** Class of work: `short` and `long` answers of models, `service` calls of plain services. */
export const workClassSchema = zod.enum(['short', 'long', 'service']);
export type WorkClass = zod.infer<typeof workClassSchema>;

/** Model or plain service that a catalogue entry routes to. */
export const targetSchema = zod.discriminatedUnion('kind', [
	zod.object({kind: zod.literal('model'), model: zod.string().min(1)}),
	zod.object({kind: zod.literal('service'), service: zod.string().min(1)}),
]);
export type Target = zod.infer<typeof targetSchema>;

export const limitsSchema = zod.object({
	requestsPerSecond: zod.number().positive().default(50),
	tokensPerSecond: zod.number().positive().default(20_000),
	/** Maximum number of concurrent requests of one team at one entry daemon. */
	maxInFlight: zod.number().int().positive().default(256),
	maxBodyBytes: zod.number().int().positive().default(1_048_576),
	maxOutputTokens: zod.number().int().positive().default(4096),
	/** Deadline of a request that specifies none. */
	deadlineMs: zod.number().int().positive().default(120_000),
});
export type Limits = zod.infer<typeof limitsSchema>;

/** One entry of the catalogue. Callers specify it as `model` or in the path of a service call. */
export const entrySchema = zod.strictObject({
	kind: zod.literal('entry'),
	name: nameSchema,
	owner: nameSchema,
	workClass: workClassSchema,
	target: targetSchema,
	/** Region that the data is bound to; absent when the work may run anywhere. */
	homeRegion: nameSchema.optional(),
	idempotent: zod.boolean(),
	/** Why an entry that routes to a model is not idempotent; services need no reason. */
	nonIdempotentReason: zod.string().min(1).optional(),
	limits: limitsSchema.default(limitsSchema.parse({})),
	/** Share of requests that are routed to the old setup, 0 to 1. */
	oldSetupShare: zod.number().min(0).max(1).default(0),
});
export type Entry = zod.infer<typeof entrySchema>;

/** A team, the unit of limits. Its API key is `<name>.<secret>`. */
export const teamSchema = zod.strictObject({
	kind: zod.literal('team'),
	name: nameSchema,
	owner: nameSchema,
	/** SHA-256 of the secret, in lower-case hexadecimal. */
	keySha256: zod.string().regex(/^[\da-f]{64}$/u, 'expected 64 hexadecimal digits'),
	requestsPerSecond: zod.number().positive().default(20),
	tokensPerSecond: zod.number().positive().default(10_000),
	weight: zod.number().positive().default(1),
	/** Region that all data of the team is bound to. */
	homeRegion: nameSchema.optional(),
});
export type Team = zod.infer<typeof teamSchema>;

/** A back end: a model runner or a plain service. */
export const upstreamSchema = zod.strictObject({
	kind: zod.literal('upstream'),
	name: nameSchema,
	type: zod.enum(['runner', 'service']),
	region: nameSchema,
	failureDomain: nameSchema,
	/** `host:port` with a numeric host. */
	address: zod.string().regex(/^(?:\d{1,3}\.){3}\d{1,3}:\d{1,5}$/u, 'expected host:port'),
	/** Models that a runner may serve. */
	models: zod.array(zod.string()).default([]),
	/** Service that a plain service implements. */
	service: zod.string().optional(),
	/** Maximum number of requests that the upstream processes concurrently. */
	slots: zod.number().int().positive().default(8),
	checksFencing: zod.boolean().default(false),
	resumesStreams: zod.boolean().default(false),
	oldSetup: zod.boolean().default(false),
});
export type Upstream = zod.infer<typeof upstreamSchema>;

export const recordSchema = zod.discriminatedUnion('kind', [
	entrySchema,
	teamSchema,
	upstreamSchema,
]);
export type CatalogueRecord = zod.infer<typeof recordSchema>;

/** One part of the catalogue, stored under the digest of its JSON text. */
export const partSchema = zod.array(recordSchema);

/** Reference from the root to a part. */
export const partReferenceSchema = zod.object({
	/** Partition number; a hash of kind and name assigns records to partitions. */
	partition: zod.number().int().nonnegative(),
	/** SHA-256 of the JSON text of the part, in lower-case hexadecimal. */
	digest: zod.string(),
});
export type PartReference = zod.infer<typeof partReferenceSchema>;

/** Root of the catalogue: the only mutable value, written by compare-and-swap. */
export const rootSchema = zod.object({
	parts: zod.array(partReferenceSchema),
	/** Identifies the edit that wrote this root, to detect a successful write whose response was lost. */
	operationId: zod.string(),
	/**
	 * Operation ids of the previous edits, newest first. An edit whose response was
	 * lost is found here even after another edit.
	 */
	recentOperationIds: zod.array(zod.string()).default([]),
	author: zod.string(),
	acceptedAt: zod.string(),
});
export type Root = zod.infer<typeof rootSchema>;

/** Store key of the root. */
export const rootKey = 'catalogue/root';

/** Store key of a part. */
export const partKey = (digest: string): string => `catalogue/parts/${digest}`;
