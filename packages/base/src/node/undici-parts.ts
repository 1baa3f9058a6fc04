/**
 * The parts of undici that a daemon uses. The package's main module also loads
 * fetch, caches, cookies and WebSockets, which doubles the time of a start.
 */
import type * as undici from 'undici';
import agentModule from 'undici/lib/dispatcher/agent.js';
import clientModule from 'undici/lib/dispatcher/client.js';
import requestModule from 'undici/lib/api/api-request.js';

/** One connection, or several when asked for, to one peer. */
export const Client = clientModule as typeof undici.Client;

/** Connections to many peers. */
export const Agent = agentModule as typeof undici.Agent;

type RequestOptions = undici.Dispatcher.RequestOptions & {origin: string};

/** Sends a request and resolves at the head of its answer. */
export const request = async (
	dispatcher: undici.Dispatcher,
	options: RequestOptions,
): Promise<undici.Dispatcher.ResponseData> =>
	(
		requestModule as (
			this: undici.Dispatcher,
			options: RequestOptions,
		) => Promise<undici.Dispatcher.ResponseData>
	).call(dispatcher, options);
