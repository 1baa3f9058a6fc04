/** Reads `GET /debug/state` of entry daemons. */
import * as httpClient from '@hawthornfront/base/common/http-client.js';
import * as zod from 'zod';
import * as ctlError from '../common/ctl-error.js';

const callTimeoutMs = 2000;
const maxDumpBytes = 16_777_216;

const revisionSchema = zod.looseObject({revision: zod.number()});

/** The revision in force at one daemon, or the reason why it is unknown. */
export type DaemonRevision = {address: string} & (
	{kind: 'answered'; revision: number} | {kind: 'failed'; detail: string}
);

/** Reads the state dump of one daemon as JSON. */
export const readDump = async (http: httpClient.HttpClient, address: string): Promise<unknown> => {
	const signal = AbortSignal.timeout(2 * callTimeoutMs);
	try {
		const answer = await http.request({
			peer: address,
			method: 'GET',
			path: '/debug/state',
			timeoutMs: callTimeoutMs,
			signal,
		});
		const text = await httpClient.readText(answer.body, maxDumpBytes);
		if (answer.status !== 200) {
			throw new Error(`status ${answer.status}`);
		}

		return JSON.parse(text) as unknown;
	} catch (error) {
		const detail = error instanceof Error ? error.message : String(error);
		throw new ctlError.CtlError(ctlError.exitCodes.unreachable, `daemon at ${address}: ${detail}`);
	}
};

/** Reads the revisions of several daemons concurrently; the result includes failed daemons. */
export const readRevisions = async (
	http: httpClient.HttpClient,
	addresses: readonly string[],
): Promise<DaemonRevision[]> =>
	Promise.all(
		addresses.map(async (address): Promise<DaemonRevision> => {
			try {
				const {revision} = revisionSchema.parse(await readDump(http, address));
				return {address, kind: 'answered', revision};
			} catch (error) {
				const detail =
					error instanceof zod.ZodError ? 'the state has no field "revision"' : String(error);
				return {address, kind: 'failed', detail};
			}
		}),
	);
