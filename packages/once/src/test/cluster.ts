/**
 * Simulated failure domain for the tests of this package: daemons with manual
 * clocks, a network that can lose, delay and duplicate messages, and an upstream
 * that counts executions. The timers of a crashed daemon no longer fire and it
 * receives no messages; for a paused daemon both are delayed until it is resumed.
 */
import type * as disposable from '@hawthornfront/base/common/disposable.js';
import * as gatewayError from '@hawthornfront/base/common/gateway-error.js';
import * as manualClock from '@hawthornfront/base/common/manual-clock.js';
import * as random from '@hawthornfront/base/common/random.js';
import * as rpc from '@hawthornfront/protocol/common/rpc.js';
import type * as zod from 'zod';
import type * as execution from '../common/execution.js';
import * as keyIssuer from '../common/key-issuer.js';
import type * as key from '../common/key.js';
import * as ownerModule from '../common/owner.js';
import * as registerMethods from '../common/register-methods.js';
import * as resolverModule from '../common/resolver.js';
import type * as settings from '../common/settings.js';
import * as witnessModule from '../common/witness.js';
import * as hmacSigner from '../node/hmac-signer.js';

const stepMs = 20;
const upstreamTimeoutMs = 1500;

/** Delays in ms of the copies of one message. An empty list loses it; two entries duplicate it. */
export type DeliveryDelays = readonly number[];
export type MessageKind = 'ask' | 'upstream' | 'once.intent' | 'once.complete' | 'once.resolve';
export type Message = {kind: string; direction: 'request' | 'response'};

/** Course of one attempt at the upstream. */
export type AttemptPlan = {
	beforeMs: number;
	failure?: 'before-sending' | 'connection-refused' | 'gave-up';
};

/** Result that a caller receives. */
export type CallerResult = {
	outcome: gatewayError.Outcome;
	kind: string;
	freshKey?: string;
	by: string;
};

/** One incarnation of one daemon. */
export type DaemonInstance = {
	self: key.Peer;
	state: 'running' | 'paused' | 'crashed';
	isClockFrozen: boolean;
	clock: InstanceClock;
	/** Daemons that this daemon considers live; may be out of date. */
	view: key.Peer[];
	issuer: keyIssuer.KeyIssuer;
	owner: ownerModule.Owner;
	witness: witnessModule.Witness;
	resolver: resolverModule.Resolver;
	handlers: Map<string, (params: unknown) => unknown>;
};

export type ClusterOptions = {
	size: number;
	settings: settings.OnceSettings;
	deliveryDelaysOf: (message: Message) => DeliveryDelays;
	attemptPlanOf: () => AttemptPlan;
	/** Called at each step of an execution, so that a test can inject a fault there. */
	onStep?: (step: string, instance: DaemonInstance) => void;
	/** Relative rate error of the clock of daemon `index`; positive when it runs fast. */
	rateOf?: (index: number) => number;
};

type Delivery = {dueMs: number; target: DaemonInstance | undefined; run: () => void};

const drain = async () => {
	for (let round = 0; round < 40; round++) {
		await Promise.resolve();
	}
};

/**
 * The clock of one daemon instance. While it is halted, even in the middle of a
 * step, no timers fire; they fire when it is resumed. When no timer is due, the
 * clock skips ahead without waiting for promises to settle, because waiting is slow.
 */
class InstanceClock extends manualClock.ManualClock {
	isHalted = false;
	#dueMs: number[] = [];
	readonly #held: Array<() => void> = [];

	override setTimer(callback: () => void, delayMs: number): disposable.Disposable {
		this.#dueMs.push(this.nowMs() + Math.max(0, delayMs));
		return super.setTimer(() => {
			if (this.isHalted) {
				this.#held.push(callback);
			} else {
				callback();
			}
		}, delayMs);
	}

	override async advance(durationMs: number): Promise<void> {
		const endMs = this.nowMs() + durationMs;
		if (this.#dueMs.some((dueMs) => dueMs <= endMs)) {
			await super.advance(durationMs);
			this.#dueMs = this.#dueMs.filter((dueMs) => dueMs > endMs);
		} else {
			this.skip(durationMs);
		}
	}

	resume() {
		this.isHalted = false;
		for (const callback of this.#held.splice(0)) {
			callback();
		}
	}
}

/** Copies a value through JSON, as on the wire; a structured clone would keep values that JSON loses. */
const roundTripJson = <Value>(value: Value): Value =>
	// eslint-disable-next-line unicorn/prefer-structured-clone
	(value === undefined ? value : JSON.parse(JSON.stringify(value))) as Value;

export const createCluster = (options: ClusterOptions) => {
	const instances: DaemonInstance[] = [];
	const executions = new Map<string, number>();
	const callerResults: Array<CallerResult & {id: string; executions: number}> = [];
	let deliveries: Delivery[] = [];
	let nowMs = 0;

	const idOf = (keyText: string, fingerprint: string) => `${keyText} ${fingerprint}`;

	const send = (
		message: Message,
		target: () => DaemonInstance | undefined,
		run: (instance?: DaemonInstance) => void,
	) => {
		for (const delayMs of options.deliveryDelaysOf(message)) {
			const instance = target();
			deliveries.push({
				dueMs: nowMs + delayMs,
				target: instance,
				run() {
					run(instance);
				},
			});
		}
	};

	class ClusterRpcClient extends rpc.RpcClient {
		caller: DaemonInstance | undefined;

		override async call<Params extends zod.ZodType, Result extends zod.ZodType>(
			peer: string,
			method: rpc.RpcMethod<Params, Result>,
			params: zod.infer<Params>,
		): Promise<zod.infer<Result>> {
			options.onStep?.(method.name, this.caller!);
			return new Promise((resolve) => {
				const request: Message = {kind: method.name, direction: 'request'};
				const receive = (instance?: DaemonInstance) => {
					const handler = instance?.handlers.get(method.name);
					const result = handler?.(method.params.parse(roundTripJson(params)));
					const response: Message = {kind: method.name, direction: 'response'};
					const answer = () => {
						resolve(method.result.parse(roundTripJson(result)));
					};

					send(response, () => this.caller, answer);
				};

				send(request, () => instances.find((instance) => instance.self.address === peer), receive);
			});
		}
	}

	const start = (index: number, incarnation: number): DaemonInstance => {
		const self = {name: `vm-${index}`, incarnation, address: `127.0.0.1:${9000 + index}`};
		const clock = new InstanceClock();
		const rpcClient = new ClusterRpcClient();
		const commonOptions = {self, clock, rpcClient, settings: options.settings};
		const witness = witnessModule.createWitness(commonOptions);
		const issuer = keyIssuer.createKeyIssuer({
			self,
			clock,
			random: random.createRandom(index * 100 + incarnation),
			signer: hmacSigner.createHmacSigner(new TextEncoder().encode(`${index}-${incarnation}`)),
			witnesses: () => instance.view,
			...options.settings,
		});
		const instance: DaemonInstance = {
			self,
			state: 'running',
			isClockFrozen: false,
			clock,
			view: [],
			issuer,
			owner: ownerModule.createOwner({...commonOptions, issuer}),
			witness,
			resolver: resolverModule.createResolver({
				...commonOptions,
				witness,
				issuer,
				peers: () => instance.view,
			}),
			handlers: new Map(),
		};
		rpcClient.caller = instance;
		registerMethods.registerMethods(
			{
				handle(method, handler) {
					instance.handlers.set(method.name, handler as (params: unknown) => unknown);
				},
			},
			witness,
		);
		instances[index] = instance;
		return instance;
	};

	const callUpstream = async (instance: DaemonInstance, id: string): Promise<string> =>
		new Promise((resolve, reject) => {
			instance.clock.setTimer(() => {
				reject(new Error('the upstream did not answer'));
			}, upstreamTimeoutMs);
			const execute = () => {
				executions.set(id, (executions.get(id) ?? 0) + 1);
				options.onStep?.('sent-in-full', instance);
				send(
					{kind: 'upstream', direction: 'response'},
					() => instance,
					() => {
						resolve(`answer to ${id}`);
					},
				);
			};

			send({kind: 'upstream', direction: 'request'}, () => undefined, execute);
			options.onStep?.('sent-in-part', instance);
		});

	const fail = (detail: string): never => {
		throw new gatewayError.GatewayException({
			kind: 'no-upstream',
			step: 'before-dispatch',
			peer: '',
			outcome: 'not-run',
			retryAfterMs: 1000,
			detail,
		});
	};

	/** Continues an attempt after it has failed. */
	const sendAfterFailure = async (
		instance: DaemonInstance,
		id: string,
		markSent: execution.MarkSent,
	) => {
		await instance.clock.sleep(stepMs);
		try {
			markSent();
		} catch {
			return;
		}

		await callUpstream(instance, id);
	};

	const executeAt =
		(instance: DaemonInstance, id: string): execution.Execute =>
		async (markSent) => {
			const plan = options.attemptPlanOf();
			options.onStep?.('intent-acknowledged', instance);
			await instance.clock.sleep(plan.beforeMs);
			if (plan.failure === 'before-sending') {
				fail('no upstream');
			}

			if (plan.failure === 'gave-up') {
				void sendAfterFailure(instance, id, markSent);
				fail('the attempt took too long');
			}

			const revokeSent = markSent();
			if (plan.failure === 'connection-refused') {
				revokeSent();
				fail('connection refused');
			}

			const text = await callUpstream(instance, id);
			options.onStep?.('answered', instance);
			// A daemon that was paused or crashed at this step stops here.
			await instance.clock.sleep(0);
			return {status: 200, headers: {}, body: new TextEncoder().encode(text)};
		};

	const runAt = async (instance: DaemonInstance, keyText: string, fingerprint: string) => {
		const execute = executeAt(instance, idOf(keyText, fingerprint));
		const {answer} = await instance.owner.run(keyText, fingerprint, execute, {maxAttempts: 2});
		return answer;
	};

	const answerAt = async (
		instance: DaemonInstance,
		keyText: string,
		fingerprint: string,
	): Promise<CallerResult> => {
		const id = idOf(keyText, fingerprint);
		const by = instance.self.name;
		try {
			const isOwn = instance.owner.classify(keyText) === 'own';
			const answer = isOwn
				? await runAt(instance, keyText, fingerprint)
				: await instance.resolver.resolve(keyText, fingerprint);
			return {outcome: 'ran', kind: new TextDecoder().decode(answer.body), by};
		} catch (error) {
			if (!(error instanceof gatewayError.GatewayException)) {
				throw error;
			}

			const {outcome, kind, freshKey} = error.error;
			return {outcome, kind, freshKey, by};
		}
	};

	const advanceInstance = async (instance: DaemonInstance, index: number) => {
		const durationMs = stepMs * (1 + (options.rateOf?.(index) ?? 0));
		if (instance.state === 'running') {
			await instance.clock.advance(durationMs);
		} else if (instance.state === 'paused' && !instance.isClockFrozen) {
			instance.clock.skip(durationMs);
		}
	};

	const deliverDue = async () => {
		const due = deliveries.filter((item) => item.dueMs <= nowMs && item.target?.state !== 'paused');
		deliveries = deliveries.filter((item) => !due.includes(item));
		for (const item of due.sort((left, right) => left.dueMs - right.dueMs)) {
			// A fault at this step may have paused or crashed the target in the meantime.
			if (item.target?.state === 'paused') {
				deliveries.push(item);
			} else if (item.target?.state !== 'crashed') {
				item.run();
				await drain();
			}
		}
	};

	const refreshView = (instance: DaemonInstance) => {
		instance.view = instances
			.filter((other) => other.state !== 'crashed')
			.map((other) => other.self);
	};

	for (let index = 0; index < options.size; index++) {
		start(index, 1);
	}

	for (const instance of instances) {
		refreshView(instance);
	}

	return {
		instances,
		callerResults,
		executionsOf: (keyText: string, fingerprint: string) =>
			executions.get(idOf(keyText, fingerprint)) ?? 0,
		executions,
		refreshView,
		/** Sends a caller's request to a daemon; returns the result that the caller receives, if any. */
		sendRequest(
			index: number,
			keyText: string,
			fingerprint: string,
		): {received: CallerResult | undefined} {
			const id = idOf(keyText, fingerprint);
			const result: {received: CallerResult | undefined} = {received: undefined};
			const receive = (instance?: DaemonInstance) => {
				options.onStep?.('received', instance!);
				const finish = async () => {
					// A daemon that was paused or crashed at this step stops here.
					await instance!.clock.sleep(0);
					const answer = await answerAt(instance!, keyText, fingerprint);
					callerResults.push({...answer, id, executions: executions.get(id) ?? 0});
					const response: Message = {kind: 'ask', direction: 'response'};
					const arrive = () => {
						result.received ??= answer;
						options.onStep?.('after-answer', instance!);
					};

					send(response, () => undefined, arrive);
				};

				void finish();
			};

			send({kind: 'ask', direction: 'request'}, () => instances[index], receive);
			return result;
		},
		crash(index: number) {
			instances[index]!.state = 'crashed';
			instances[index]!.clock.isHalted = true;
		},
		restart(index: number) {
			this.crash(index);
			const instance = start(index, instances[index]!.self.incarnation + 1);
			refreshView(instance);
		},
		pause(index: number, isClockFrozen: boolean) {
			if (instances[index]!.state === 'running') {
				instances[index]!.state = 'paused';
				instances[index]!.isClockFrozen = isClockFrozen;
				instances[index]!.clock.isHalted = true;
			}
		},
		resume(index: number) {
			if (instances[index]!.state === 'paused') {
				instances[index]!.state = 'running';
				instances[index]!.clock.resume();
			}
		},
		async advance(durationMs: number) {
			for (let passedMs = 0; passedMs < durationMs; passedMs += stepMs) {
				nowMs += stepMs;
				await deliverDue();
				for (const [index, instance] of instances.entries()) {
					await advanceInstance(instance, index);
				}
			}
		},
	};
};

export type Cluster = ReturnType<typeof createCluster>;
