/** Dependencies shared by the components of one daemon's fleet. */
import type * as clock from '@hawthornfront/base/common/clock.js';
import type * as randomNumbers from '@hawthornfront/base/common/random.js';
import type * as keyValueStore from '@hawthornfront/platform/common/key-value-store.js';
import type * as platformServices from '@hawthornfront/platform/common/platform-services.js';
import type * as rpc from '@hawthornfront/protocol/common/rpc.js';
import type * as configuration from './configuration.js';
import type * as counters from './counters.js';
import type * as fleetSettings from './fleet-settings.js';
import type * as membership from './membership.js';

/** Logger for state changes; compatible with pino. */
export type FleetLogger = {
	info(fields: Record<string, unknown>, message: string): void;
	warn(fields: Record<string, unknown>, message: string): void;
};

export type FleetParts = {
	cluster: string;
	clock: clock.Clock;
	random: randomNumbers.Random;
	settings: fleetSettings.FleetSettings;
	counters: counters.FleetCounters;
	logger: FleetLogger;
	membership: membership.Membership;
	configuration: configuration.Configuration;
	rpcClient: rpc.RpcClient;
	store: keyValueStore.KeyValueStore;
	vmList: platformServices.VmList;
	/** Aborted when the fleet is disposed. */
	signal: AbortSignal;
};

/** A call timed out or was aborted. */
export class CallTimeoutError extends Error {}

/**
 * Runs a call with a timeout on the injected clock. The timeout also applies to a
 * call that ignores its signal, since a hung call must not block a loop forever.
 */
export const withTimeout = async <Result>(
	time: clock.Clock,
	timeoutMs: number,
	signal: AbortSignal,
	call: (signal: AbortSignal) => Promise<Result>,
): Promise<Result> => {
	const controller = new AbortController();
	return new Promise<Result>((resolve, reject) => {
		const end = (settle: () => void) => {
			timer.dispose();
			signal.removeEventListener('abort', onAbort);
			settle();
		};

		const giveUp = (error: Error) => {
			end(() => {
				reject(error);
			});
			controller.abort(error);
		};

		const onAbort = () => {
			giveUp(new CallTimeoutError('the call was aborted or the daemon is stopping'));
		};

		const timer = time.setTimer(() => {
			giveUp(new CallTimeoutError(`no answer within ${timeoutMs} ms`));
		}, timeoutMs);
		if (signal.aborted) {
			onAbort();
			return;
		}

		signal.addEventListener('abort', onAbort, {once: true});
		const run = async () => {
			try {
				const result = await call(controller.signal);
				end(() => {
					resolve(result);
				});
			} catch (error) {
				end(() => {
					reject(error instanceof Error ? error : new Error(String(error)));
				});
			}
		};

		void run();
	});
};
