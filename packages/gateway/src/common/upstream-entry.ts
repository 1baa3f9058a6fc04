/** Entry that an upstream registers in the store. */
import * as zod from 'zod';

export const upstreamEntrySchema = zod.object({
	/** New for most starts of an upstream. */
	id: zod.string(),
	service: zod.string(),
	/** `host:port`. */
	address: zod.string(),
	failureDomain: zod.string(),
	/** Requests that it processes at once. */
	slots: zod.number(),
	isDraining: zod.boolean(),
	/** Time for which it stays cold after this entry was written. */
	coldLeftMs: zod.number(),
	/** Unix time of its start; distinguishes two starts under one id. */
	startedAtUnixMs: zod.number().optional(),
	/** Time after which a draining upstream stops even with running requests; undefined unless a stop was announced. */
	goneAfterMs: zod.number().optional(),
});
export type UpstreamEntry = zod.infer<typeof upstreamEntrySchema>;

/** An upstream as one daemon reports it to another. */
export const reportedUpstreamSchema = zod.object({
	entry: upstreamEntrySchema,
	/** Time for which it is still cold. */
	coldLeftMs: zod.number(),
	/** Its entry went missing around an outage of the store. */
	isMissing: zod.boolean(),
	/** A restored store has it although the upstream had left; it may expire again. */
	isHeldBack: zod.boolean().optional(),
});
export type ReportedUpstream = zod.infer<typeof reportedUpstreamSchema>;
