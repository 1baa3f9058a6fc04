/** `status`, `dump`, `team-key` and `clean-up`. */
import * as crypto from 'node:crypto';
import * as catalogueReader from '@hawthornfront/catalogue/node/catalogue-reader.js';
import * as cleanUp from '@hawthornfront/catalogue/node/clean-up.js';
import * as ctlError from '../../common/ctl-error.js';
import * as ctlContext from '../context.js';
import * as daemonState from '../daemon-state.js';

const secretBytes = 24;
const maxRemovals = 500;
const removalPauseMs = 100;

const describeStore = async (
	context: ctlContext.CtlContext,
	address: string,
): Promise<{line: string; revision?: number}> => {
	try {
		const found = await catalogueReader.readRoot(context.openStore(address));
		const revision = found?.revision ?? 0;
		const by = found ? `, accepted ${found.root.acceptedAt}, by ${found.root.author}` : '';
		return {line: `store ${address}: revision ${revision}${by}`, revision};
	} catch (error) {
		const detail = error instanceof Error ? error.message : String(error);
		return {line: `store ${address}: ${detail}`};
	}
};

/** Prints the revision of the store and of each daemon. */
export const status = async (
	context: ctlContext.CtlContext,
	options: {config?: string},
): Promise<void> => {
	const settings = ctlContext.readSettings(options);
	const store = await describeStore(context, settings.platform.store);
	context.print(store.line);
	let failures = store.revision === undefined ? 1 : 0;
	let behind = 0;
	for (const [region, addresses] of Object.entries(settings.entries)) {
		for (const daemon of await daemonState.readRevisions(context.http, addresses)) {
			if (daemon.kind === 'failed') {
				failures++;
				context.print(`region ${region}, ${daemon.address}: ${daemon.detail}`);
				continue;
			}

			const isBehind = daemon.revision < (store.revision ?? 0);
			behind += isBehind ? 1 : 0;
			const note = isBehind ? ', behind the store' : '';
			context.print(`region ${region}, ${daemon.address}: revision ${daemon.revision}${note}`);
		}
	}

	if (failures > 0) {
		const message = `${failures} of the store and the daemons did not answer`;
		throw new ctlError.CtlError(ctlError.exitCodes.unreachable, message);
	}

	if (behind > 0) {
		const message = `${behind} daemons are behind the store`;
		throw new ctlError.CtlError(ctlError.exitCodes.notInForce, message);
	}
};

/** Prints the state of one daemon. */
export const dump = async (context: ctlContext.CtlContext, address: string): Promise<void> => {
	context.print(JSON.stringify(await daemonState.readDump(context.http, address), undefined, 2));
};

/** Generates an API key. The catalogue stores only the digest, so the key is printed once. */
export const teamKey = (context: ctlContext.CtlContext, team: string): void => {
	if (!/^[a-z\d][a-z\d-]{0,62}$/u.test(team)) {
		const message = `team "${team}": expected lower-case letters, digits and hyphens, at most 63`;
		throw new ctlError.CtlError(ctlError.exitCodes.usage, message);
	}

	const secret = crypto.randomBytes(secretBytes).toString('base64url');
	context.print(`key: ${team}.${secret}`);
	context.print(`keySha256: ${crypto.createHash('sha256').update(secret).digest('hex')}`);
};

/** Removes catalogue parts that no revision references. */
export const cleanUpStore = async (
	context: ctlContext.CtlContext,
	options: {config?: string; graceSeconds?: number},
): Promise<void> => {
	const settings = ctlContext.readSettings(options);
	const graceMs =
		options.graceSeconds === undefined ? cleanUp.minGraceMs : Number(options.graceSeconds) * 1000;
	if (!(graceMs >= cleanUp.minGraceMs)) {
		const message = `--grace-seconds: expected at least ${cleanUp.minGraceMs / 1000}`;
		throw new ctlError.CtlError(ctlError.exitCodes.usage, message);
	}

	const result = await cleanUp.cleanUpParts({
		store: context.openStore(settings.platform.store),
		clock: context.clock,
		graceMs,
		maxRemovals,
		pauseMs: removalPauseMs,
	});
	context.print(`${result.found} unused parts found, ${result.removed} removed`);
};
