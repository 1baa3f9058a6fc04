/**
 * Idempotency keys. The text is a msgpackr array in base64url, so any daemon can
 * read the owner and the witness of a key without shared state. Only the owner can
 * verify the signature, because its secret never leaves the process.
 */
import * as identity from '@hawthornfront/protocol/common/identity.js';
import * as onceMethods from '@hawthornfront/protocol/common/once-methods.js';
import * as msgpackr from 'msgpackr';
import * as zod from 'zod';
import * as base64 from './base64.js';

/** A daemon in one incarnation, and the HTTP address of its internal protocol. */
export const peerSchema = zod.object({
	...identity.identitySchema.shape,
	/** `host:port`. */
	address: zod.string(),
});
export type Peer = zod.infer<typeof peerSchema>;

/** The parts of a key. */
export type Key = {
	owner: Peer;
	/** Undefined when the owner had no other daemon in its failure domain. */
	witness: Peer | undefined;
	/** Expiry on the owner's monotonic clock, counted from the start of its incarnation. */
	expiresAtMs: number;
	nonce: number;
};

/** A key parsed from its text; the signature is not verified. */
export type ParsedKey = Key & {
	text: string;
	signature: Uint8Array;
};

/** Signs keys with a secret of this incarnation. */
export type KeySigner = {
	sign(bytes: Uint8Array): Uint8Array;
	/** Compares in constant time. */
	verify(bytes: Uint8Array, signature: Uint8Array): boolean;
};

const formatVersion = 1;
const packr = new msgpackr.Packr({useRecords: false});

const peerTupleSchema = zod.tuple([
	zod.string().min(1),
	zod.number().int().nonnegative(),
	zod.string().min(1),
]);
const keyTupleSchema = zod.tuple([
	zod.literal(formatVersion),
	peerTupleSchema,
	peerTupleSchema.nullable(),
	zod.number().int().nonnegative(),
	zod.number().int().nonnegative(),
	zod.instanceof(Uint8Array),
]);

const toTuple = (peer: Peer) => [peer.name, peer.incarnation, peer.address];

const toPeer = ([name, incarnation, address]: zod.infer<typeof peerTupleSchema>): Peer => ({
	name,
	incarnation,
	address,
});

const toParts = (key: Key): unknown[] => [
	formatVersion,
	toTuple(key.owner),
	key.witness ? toTuple(key.witness) : null,
	key.expiresAtMs,
	key.nonce,
];

const signedBytes = (key: Key): Uint8Array => packr.pack(toParts(key));

const toText = (key: Key, signature: Uint8Array): string =>
	base64.encodeBase64Url(packr.pack([...toParts(key), signature]));

/** Formats and signs a key. */
export const formatKey = (key: Key, signer: KeySigner): string =>
	toText(key, signer.sign(signedBytes(key)));

/** Parses a key; undefined when the text isn't a key of this format. Never throws. */
export const parseKey = (text: string): ParsedKey | undefined => {
	if (text.length > onceMethods.maxKeyLength) {
		return undefined;
	}

	try {
		const [, owner, witness, expiresAtMs, nonce, signature] = keyTupleSchema.parse(
			packr.unpack(base64.decodeBase64Url(text)),
		);
		const key: Key = {
			owner: toPeer(owner),
			witness: witness ? toPeer(witness) : undefined,
			expiresAtMs,
			nonce,
		};
		// Records are stored by text, so a key must have exactly one text. Base64
		// and msgpack both allow several encodings of the same value.
		return toText(key, signature) === text ? {...key, text, signature} : undefined;
	} catch {
		return undefined;
	}
};

/** Verifies the signature; this requires the signer of the owner. */
export const isSignedBy = (key: ParsedKey, signer: KeySigner): boolean =>
	signer.verify(signedBytes(key), key.signature);

/** True when both name the same incarnation of the same daemon. */
export const isSameIncarnation = (left: identity.Identity, right: identity.Identity): boolean =>
	left.name === right.name && left.incarnation === right.incarnation;
