// Guards against keys that have several valid texts, throw on malformed input, or can be forged.
import * as tap from 'tap';
import * as manualClock from '@hawthornfront/base/common/manual-clock.js';
import * as random from '@hawthornfront/base/common/random.js';
import * as keyIssuer from '../common/key-issuer.js';
import * as key from '../common/key.js';
import * as hmacSigner from '../node/hmac-signer.js';

const self = {name: 'lombardia-a-1', incarnation: 1_764_800_000_000, address: '127.0.0.1:8080'};
const other = {name: 'lombardia-a-2', incarnation: 7, address: '127.0.0.1:8081'};

const createIssuer = (clock: manualClock.ManualClock, witnesses: key.Peer[]) =>
	keyIssuer.createKeyIssuer({
		self,
		clock,
		random: random.createRandom(1),
		signer: hmacSigner.createHmacSigner(),
		witnesses: () => witnesses,
		keyLifetimeMs: 1000,
		avoidWitnessMs: 100,
	});

tap.t.test('a key survives its text form', async (t) => {
	const issuer = createIssuer(new manualClock.ManualClock(), [self, other]);
	const parsed = key.parseKey(issuer.issue())!;
	t.same(parsed.owner, self);
	t.same(parsed.witness, other);
	t.equal(parsed.expiresAtMs, 1000);
	t.ok(issuer.isIssuer(parsed));
	t.notOk(createIssuer(new manualClock.ManualClock(), []).isIssuer(parsed));
});

tap.t.test('keys are unique and avoid a witness that did not answer', async (t) => {
	const clock = new manualClock.ManualClock();
	const issuer = createIssuer(clock, [other]);
	t.equal(new Set(Array.from({length: 100}, () => issuer.issue())).size, 100);
	issuer.avoidWitness(other.name);
	t.equal(key.parseKey(issuer.issue())!.witness, undefined);
	clock.skip(100);
	t.same(key.parseKey(issuer.issue())!.witness, other);
});

tap.t.test('no changed text parses as the same key', async (t) => {
	const issuer = createIssuer(new manualClock.ManualClock(), [other]);
	const text = issuer.issue();
	const accepted: string[] = [];
	for (let index = 0; index < text.length; index++) {
		for (const character of ['A', 'b', '_', '=', ' ', '\u{1F33F}']) {
			const changed = text.slice(0, index) + character + text.slice(index + 1);
			const reparsed = key.parseKey(changed);
			if (changed !== text && reparsed && issuer.isIssuer(reparsed)) {
				accepted.push(changed);
			}
		}
	}

	t.same(accepted, []);
	t.equal(key.parseKey(`${text}=`), undefined);
	t.equal(key.parseKey(`${text} `), undefined);
	t.equal(key.parseKey(''), undefined);
	t.equal(key.parseKey('A'.repeat(100_000)), undefined);
});
