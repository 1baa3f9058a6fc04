/**
 * JSON-RPC methods for at-most-once execution. The key text carries the owner,
 * the witness and the expiry, so the messages do not repeat them.
 */
import * as zod from 'zod';
import * as rpc from './rpc.js';

/** Longest key text that is accepted; a key with a witness takes about 190 characters. */
export const maxKeyLength = 512;

const keySchema = zod.string().min(1).max(maxKeyLength);

/** Digest of the request (method, path, body); tells a repeat from another request. */
const fingerprintSchema = zod.string().max(128);

/** An answer of an upstream that is kept with its key. */
export const storedAnswerSchema = zod.object({
	status: zod.number().int(),
	headers: zod.record(zod.string(), zod.string()),
	/** Body as base64. */
	body: zod.string(),
});
export type StoredAnswer = zod.infer<typeof storedAnswerSchema>;

/** What the owner knows about a key for good. `ran` without an answer: it was not kept. */
export const finalResultSchema = zod.discriminatedUnion('outcome', [
	zod.object({outcome: zod.literal('not-run')}),
	zod.object({outcome: zod.literal('ran'), answer: storedAnswerSchema.optional()}),
]);
export type FinalResult = zod.infer<typeof finalResultSchema>;

/** Why a witness did not take a record. */
export const refusalSchema = zod.enum([
	'invalid',
	'other-incarnation',
	'sealed',
	'reused',
	'forgotten',
	'full',
]);
export type Refusal = zod.infer<typeof refusalSchema>;

/** The owner asks its witness to record that a request may be dispatched. */
export const intent = rpc.defineMethod(
	'once.intent',
	zod.object({
		key: keySchema,
		fingerprint: fingerprintSchema,
		/** Time since the start of the owner's incarnation on its monotonic clock. */
		ownerNowMs: zod.number().nonnegative(),
	}),
	zod.discriminatedUnion('kind', [
		zod.object({kind: zod.literal('recorded')}),
		zod.object({kind: zod.literal('refused'), reason: refusalSchema}),
	]),
);

/** The owner tells its witness how a request ended. */
export const complete = rpc.defineMethod(
	'once.complete',
	zod.object({key: keySchema, fingerprint: fingerprintSchema, result: finalResultSchema}),
	zod.object({isStored: zod.boolean()}),
);

/** Why the outcome is `unknown`. */
export const unknownReasonSchema = zod.enum([
	'invalid',
	'no-witness',
	'witness-unreachable',
	'other-incarnation',
	'intent-without-completion',
	'forgotten',
	'full',
]);
export type UnknownReason = zod.infer<typeof unknownReasonSchema>;

export const resolutionSchema = zod.discriminatedUnion('outcome', [
	zod.object({outcome: zod.literal('not-run')}),
	zod.object({outcome: zod.literal('ran'), answer: storedAnswerSchema.optional()}),
	zod.object({outcome: zod.literal('unknown'), reason: unknownReasonSchema}),
	zod.object({outcome: zod.literal('reused')}),
]);
export type WireResolution = zod.infer<typeof resolutionSchema>;

/** Asks a witness what is known about a key; it seals the key when it has no intent. */
export const resolve = rpc.defineMethod(
	'once.resolve',
	zod.object({key: keySchema, fingerprint: fingerprintSchema}),
	resolutionSchema,
);

/** A stopping owner hands over what it knows for good. */
export const handoff = rpc.defineMethod(
	'once.handoff',
	zod.object({
		records: zod.array(
			zod.object({key: keySchema, fingerprint: fingerprintSchema, result: finalResultSchema}),
		),
	}),
	zod.object({accepted: zod.number().int().nonnegative()}),
);
