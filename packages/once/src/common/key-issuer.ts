/** Issues idempotency keys of this incarnation. */
import type * as clock from '@hawthornfront/base/common/clock.js';
import type * as random from '@hawthornfront/base/common/random.js';
import * as key from './key.js';

const maxNonce = 2 ** 31 - 1; // msgpack writes it in five bytes

export type KeyIssuerOptions = {
	/** This daemon; the incarnation stays the same for the life of the process. */
	self: key.Peer;
	clock: clock.Clock;
	random: random.Random;
	signer: key.KeySigner;
	/** Live daemons of this failure domain; this daemon is left out when it is among them. */
	witnesses: () => readonly key.Peer[];
	keyLifetimeMs: number;
	avoidWitnessMs: number;
};

/** Issues keys and provides the clock by which they expire. */
export type KeyIssuer = {
	/** Issues a key that no other call has returned. */
	issue(): string;
	/** Excludes a witness that did not answer from new keys for `avoidWitnessMs`. */
	avoidWitness(name: string): void;
	/** Time since the start of the incarnation. */
	nowMs(): number;
	/** True when this incarnation issued the key. */
	isIssuer(parsed: key.ParsedKey): boolean;
};

/** Creates the issuer of one incarnation. */
export const createKeyIssuer = (options: KeyIssuerOptions): KeyIssuer => {
	const {self, clock, random, signer} = options;
	const startMs = clock.nowMs();
	const avoidedUntilMs = new Map<string, number>();
	let lastExpiryMs = 0;

	const nowMs = () => clock.nowMs() - startMs;

	const isAvoided = (name: string): boolean => {
		const untilMs = avoidedUntilMs.get(name);
		if (untilMs === undefined || nowMs() < untilMs) {
			return untilMs !== undefined;
		}

		avoidedUntilMs.delete(name);
		return false;
	};

	const chooseWitness = (): key.Peer | undefined =>
		// When no other daemon answers, keys are issued without a witness. Requests
		// then run without delay, but their outcome is `unknown` if this daemon
		// crashes too.
		random.pick(
			options
				.witnesses()
				.filter((candidate) => candidate.name !== self.name && !isAvoided(candidate.name)),
		);

	return {
		issue() {
			// Expiries strictly increase, so keys are unique, and an owner can refuse
			// every key up to an expiry without refusing the fresh ones.
			lastExpiryMs = Math.max(lastExpiryMs + 1, Math.ceil(nowMs() + options.keyLifetimeMs));
			return key.formatKey(
				{
					owner: self,
					witness: chooseWitness(),
					expiresAtMs: lastExpiryMs,
					nonce: random.integer(0, maxNonce),
				},
				signer,
			);
		},
		avoidWitness(name) {
			avoidedUntilMs.set(name, nowMs() + options.avoidWitnessMs);
		},
		nowMs,
		isIssuer: (parsed) =>
			key.isSameIncarnation(parsed.owner, self) && key.isSignedBy(parsed, signer),
	};
};
