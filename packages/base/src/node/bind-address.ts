/** Binds addresses that a process which is about to end may still hold. */
import type * as net from 'node:net';

export type BindRetry = {
	/** Binding fails when the address is still in use after this time. */
	timeoutMs: number;
	/** Called once for an address that is in use. */
	onInUse(error: Error): void;
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

const isInUse = (error: unknown): error is Error =>
	error instanceof Error && 'code' in error && error.code === 'EADDRINUSE';

/**
 * Binds an address, again while it is in use.
 *
 * @throws the error of `bind` when it is another one, or after the time-out
 */
export const bindWhenFree = async <Bound>(
	bind: () => Promise<Bound>,
	{timeoutMs, onInUse}: BindRetry,
): Promise<Bound> => {
	const endsAtMs = performance.now() + timeoutMs;
	for (let isFirst = true; ; isFirst = false) {
		try {
			return await bind();
		} catch (error) {
			if (!isInUse(error) || performance.now() >= endsAtMs) {
				throw error;
			}

			if (isFirst) {
				onInUse(error);
			}

			await new Promise((resolve) => {
				setTimeout(resolve, retryEveryMs);
			});
		}
	}
};
