/**
 * The parts of undici that a daemon uses. The main module of undici also loads
 * fetch, caches, cookies and WebSockets, which doubles the startup time.
 */
import type * as undici from 'undici';
import agentModule from 'undici/lib/dispatcher/agent.js';
import clientModule from 'undici/lib/dispatcher/client.js';
import requestModule from 'undici/lib/api/api-request.js';

/** Connections to one peer, by default a single one. */
export const Client = clientModule as typeof undici.Client;

/** Connection pools to many peers. */
export const Agent = agentModule as typeof undici.Agent;

type RequestOptions = undici.Dispatcher.RequestOptions & {origin: string};

/** Sends a request and resolves when the response headers are received. */
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
