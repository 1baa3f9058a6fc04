/**
 * JSON-RPC methods for at-most-once execution. The messages omit the owner, the
 * witness and the expiry, because the key text contains them.
 */
import * as zod from 'zod';
import * as rpc from './rpc.js';

/** Maximum length of a key text; a key with a witness has about 190 characters. */
export const maxKeyLength = 512;

const keySchema = zod.string().min(1).max(maxKeyLength);

/** Digest of method, path and body, which distinguishes a retry from a different request. */
const fingerprintSchema = zod.string().max(128);

/** Answer of an upstream, stored with the key of its request. */
export const storedAnswerSchema = zod.object({
	status: zod.number().int(),
	headers: zod.record(zod.string(), zod.string()),
	/** Body as base64. */
	body: zod.string(),
});
export type StoredAnswer = zod.infer<typeof storedAnswerSchema>;

/** Final result of a key at its owner. `ran` has no `answer` when the answer was not stored. */
export const finalResultSchema = zod.discriminatedUnion('outcome', [
	zod.object({outcome: zod.literal('not-run')}),
	zod.object({outcome: zod.literal('ran'), answer: storedAnswerSchema.optional()}),
]);
export type FinalResult = zod.infer<typeof finalResultSchema>;

/** Why a witness refused a record. */
export const refusalSchema = zod.enum([
	'invalid',
	'other-incarnation',
	'sealed',
	'reused',
	'forgotten',
	'full',
]);
export type Refusal = zod.infer<typeof refusalSchema>;

/** Sent by the owner: records at the witness that a request may be dispatched. */
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

/** Sent by the owner: records at the witness the result of a request. */
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

/** Returns the outcome of a key that the witness has recorded; a key without an intent is sealed. */
export const resolve = rpc.defineMethod(
	'once.resolve',
	zod.object({key: keySchema, fingerprint: fingerprintSchema}),
	resolutionSchema,
);

/** Sent by a stopping owner: transfers its final results. */
export const handoff = rpc.defineMethod(
	'once.handoff',
	zod.object({
		records: zod.array(
			zod.object({key: keySchema, fingerprint: fingerprintSchema, result: finalResultSchema}),
		),
	}),
	zod.object({accepted: zod.number().int().nonnegative()}),
);
