/** Binds addresses that are not available yet: another process may still hold them, or the VM lacks them so far. */
import type * as net from 'node:net';
import * as timers from 'node:timers/promises';

/** `EADDRINUSE`: held by another process; `EADDRNOTAVAIL`: not an address of this VM so far. */
export type BindError = Error & {code: 'EADDRINUSE' | 'EADDRNOTAVAIL'};

export type BindRetry = {
	/** Binding fails when the address is still not available after this time. */
	timeoutMs: number;
	/** Ends the wait for an address. */
	signal?: AbortSignal;
	/** Called once for an address that is not available. */
	onRetry(error: BindError): void;
};

/**
 * Listens once; the server can listen again after a failure.
 *
 * @param onLaterError called for each error of the listening server, such as an accept that fails; it keeps listening
 * @throws the error of the server
 */
export const listenOnce = async (
	server: net.Server,
	options: net.ListenOptions,
	onLaterError: (error: Error) => void,
): Promise<void> =>
	new Promise((resolve, reject) => {
		const onListening = () => {
			server.off('error', onError);
			// Without a listener, an error would end the process.
			server.on('error', onLaterError);
			resolve();
		};

		const onError = (error: Error) => {
			server.off('listening', onListening);
			reject(error);
		};

		server.once('listening', onListening);
		server.once('error', onError);
		server.listen(options);
	});

const retryEveryMs = 100;

const canPass = (error: unknown): error is BindError =>
	error instanceof Error &&
	'code' in error &&
	(error.code === 'EADDRINUSE' || error.code === 'EADDRNOTAVAIL');

/**
 * Binds an address, again while it is not available.
 *
 * @throws the error of `bind` when it is another one, or after the time-out; AbortError for the signal
 */
export const bindWhenFree = async <Bound>(
	bind: () => Promise<Bound>,
	{timeoutMs, signal, onRetry}: BindRetry,
): Promise<Bound> => {
	const endsAtMs = performance.now() + timeoutMs;
	for (let isFirst = true; ; isFirst = false) {
		try {
			return await bind();
		} catch (error) {
			if (!canPass(error) || performance.now() >= endsAtMs) {
				throw error;
			}

			if (isFirst) {
				onRetry(error);
			}

			await timers.setTimeout(retryEveryMs, undefined, {signal});
		}
	}
};
