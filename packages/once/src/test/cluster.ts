/**
 * A failure domain in memory for the tests of this package: daemons on manual
 * clocks, a network whose messages a test can lose, delay and duplicate, and an
 * upstream that counts executions. A crashed daemon gets no more time and no
 * more messages; a paused one gets them when it is resumed.
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

/** What the network does with one message. An empty list loses it; two entries duplicate it. */
export type Fate = readonly number[];
export type MessageKind = 'ask' | 'upstream' | 'once.intent' | 'once.complete' | 'once.resolve';
export type Message = {kind: string; direction: 'request' | 'response'};

/** How one attempt at the upstream goes. */
export type Plan = {
	beforeMs: number;
	failure?: 'before-sending' | 'connection-refused' | 'gave-up';
};

/** What a caller was told. */
export type Told = {
	outcome: gatewayError.Outcome;
	kind: string;
	freshKey?: string;
	by: string;
};

/** One incarnation of one daemon. */
export type Life = {
	self: key.Peer;
	state: 'running' | 'paused' | 'crashed';
	isClockFrozen: boolean;
	clock: LifeClock;
	/** Live daemons as this daemon sees them; may be out of date. */
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
	fateOf: (message: Message) => Fate;
	planOf: () => Plan;
	/** Called at points of an execution, so that a test can inject a fault there. */
	onStep?: (step: string, life: Life) => void;
	/** Share by which the clock of daemon `index` runs fast or slow. */
	rateOf?: (index: number) => number;
};

type Delivery = {dueMs: number; target: Life | undefined; run: () => void};

const drain = async () => {
	for (let round = 0; round < 40; round++) {
		await Promise.resolve();
	}
};

/**
 * The clock of one life. A halted life fires no more timers, even in the middle
 * of a step; they fire when it is resumed. Time without due timers passes without
 * letting promises settle, which is slow.
 */
class LifeClock extends manualClock.ManualClock {
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

/** Passes through JSON, as on the wire; a structured clone would keep what JSON loses. */
const throughJson = <Value>(value: Value): Value =>
	// eslint-disable-next-line unicorn/prefer-structured-clone
	(value === undefined ? value : JSON.parse(JSON.stringify(value))) as Value;

export const createCluster = (options: ClusterOptions) => {
	const lives: Life[] = [];
	const executions = new Map<string, number>();
	const told: Array<Told & {id: string; executions: number}> = [];
	let deliveries: Delivery[] = [];
	let nowMs = 0;

	const idOf = (keyText: string, fingerprint: string) => `${keyText} ${fingerprint}`;

	const send = (message: Message, target: () => Life | undefined, run: (life?: Life) => void) => {
		for (const delayMs of options.fateOf(message)) {
			const life = target();
			deliveries.push({
				dueMs: nowMs + delayMs,
				target: life,
				run() {
					run(life);
				},
			});
		}
	};

	class ClusterRpcClient extends rpc.RpcClient {
		caller: Life | undefined;

		override async call<Params extends zod.ZodType, Result extends zod.ZodType>(
			peer: string,
			method: rpc.RpcMethod<Params, Result>,
			params: zod.infer<Params>,
		): Promise<zod.infer<Result>> {
			options.onStep?.(method.name, this.caller!);
			return new Promise((resolve) => {
				const request: Message = {kind: method.name, direction: 'request'};
				const receive = (life?: Life) => {
					const handler = life?.handlers.get(method.name);
					const result = handler?.(method.params.parse(throughJson(params)));
					const response: Message = {kind: method.name, direction: 'response'};
					const answer = () => {
						resolve(method.result.parse(throughJson(result)));
					};

					send(response, () => this.caller, answer);
				};

				send(request, () => lives.find((life) => life.self.address === peer), receive);
			});
		}
	}

	const start = (index: number, incarnation: number): Life => {
		const self = {name: `vm-${index}`, incarnation, address: `127.0.0.1:${9000 + index}`};
		const clock = new LifeClock();
		const rpcClient = new ClusterRpcClient();
		const parts = {self, clock, rpcClient, settings: options.settings};
		const witness = witnessModule.createWitness(parts);
		const issuer = keyIssuer.createKeyIssuer({
			self,
			clock,
			random: random.createRandom(index * 100 + incarnation),
			signer: hmacSigner.createHmacSigner(new TextEncoder().encode(`${index}-${incarnation}`)),
			witnesses: () => life.view,
			...options.settings,
		});
		const life: Life = {
			self,
			state: 'running',
			isClockFrozen: false,
			clock,
			view: [],
			issuer,
			owner: ownerModule.createOwner({...parts, issuer}),
			witness,
			resolver: resolverModule.createResolver({...parts, witness, issuer, peers: () => life.view}),
			handlers: new Map(),
		};
		rpcClient.caller = life;
		registerMethods.registerMethods(
			{
				handle(method, handler) {
					life.handlers.set(method.name, handler as (params: unknown) => unknown);
				},
			},
			witness,
		);
		lives[index] = life;
		return life;
	};

	const callUpstream = async (life: Life, id: string): Promise<string> =>
		new Promise((resolve, reject) => {
			life.clock.setTimer(() => {
				reject(new Error('the upstream did not answer'));
			}, upstreamTimeoutMs);
			const execute = () => {
				executions.set(id, (executions.get(id) ?? 0) + 1);
				options.onStep?.('sent-in-full', life);
				send(
					{kind: 'upstream', direction: 'response'},
					() => life,
					() => {
						resolve(`answer to ${id}`);
					},
				);
			};

			send({kind: 'upstream', direction: 'request'}, () => undefined, execute);
			options.onStep?.('sent-in-part', life);
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

	/** An attempt that goes on although its result is settled. */
	const sendLate = async (life: Life, id: string, markSent: execution.MarkSent) => {
		await life.clock.sleep(stepMs);
		try {
			markSent();
		} catch {
			return;
		}

		await callUpstream(life, id);
	};

	const executeAt =
		(life: Life, id: string): execution.Execute =>
		async (markSent) => {
			const plan = options.planOf();
			options.onStep?.('intent-acknowledged', life);
			await life.clock.sleep(plan.beforeMs);
			if (plan.failure === 'before-sending') {
				fail('no upstream');
			}

			if (plan.failure === 'gave-up') {
				void sendLate(life, id, markSent);
				fail('the attempt took too long');
			}

			const takeBack = markSent();
			if (plan.failure === 'connection-refused') {
				takeBack();
				fail('connection refused');
			}

			const text = await callUpstream(life, id);
			options.onStep?.('answered', life);
			// A daemon that the step has paused or crashed goes no further.
			await life.clock.sleep(0);
			return {status: 200, headers: {}, body: new TextEncoder().encode(text)};
		};

	const runAt = async (life: Life, keyText: string, fingerprint: string) => {
		const execute = executeAt(life, idOf(keyText, fingerprint));
		const {answer} = await life.owner.run(keyText, fingerprint, execute, {maxAttempts: 2});
		return answer;
	};

	const answerAt = async (life: Life, keyText: string, fingerprint: string): Promise<Told> => {
		const id = idOf(keyText, fingerprint);
		const by = life.self.name;
		try {
			const isOwn = life.owner.classify(keyText) === 'own';
			const answer = isOwn
				? await runAt(life, keyText, fingerprint)
				: await life.resolver.resolve(keyText, fingerprint);
			return {outcome: 'ran', kind: new TextDecoder().decode(answer.body), by};
		} catch (error) {
			if (!(error instanceof gatewayError.GatewayException)) {
				throw error;
			}

			const {outcome, kind, freshKey} = error.error;
			return {outcome, kind, freshKey, by};
		}
	};

	const advanceLife = async (life: Life, index: number) => {
		const durationMs = stepMs * (1 + (options.rateOf?.(index) ?? 0));
		if (life.state === 'running') {
			await life.clock.advance(durationMs);
		} else if (life.state === 'paused' && !life.isClockFrozen) {
			life.clock.skip(durationMs);
		}
	};

	const deliverDue = async () => {
		const due = deliveries.filter((item) => item.dueMs <= nowMs && item.target?.state !== 'paused');
		deliveries = deliveries.filter((item) => !due.includes(item));
		for (const item of due.sort((left, right) => left.dueMs - right.dueMs)) {
			// A fault of this step may have stopped the target in the meantime.
			if (item.target?.state === 'paused') {
				deliveries.push(item);
			} else if (item.target?.state !== 'crashed') {
				item.run();
				await drain();
			}
		}
	};

	const refreshView = (life: Life) => {
		life.view = lives.filter((other) => other.state !== 'crashed').map((other) => other.self);
	};

	for (let index = 0; index < options.size; index++) {
		start(index, 1);
	}

	for (const life of lives) {
		refreshView(life);
	}

	return {
		lives,
		told,
		executionsOf: (keyText: string, fingerprint: string) =>
			executions.get(idOf(keyText, fingerprint)) ?? 0,
		executions,
		refreshView,
		/** A caller asks a daemon; gives what the caller receives, if anything. */
		ask(index: number, keyText: string, fingerprint: string): {received: Told | undefined} {
			const id = idOf(keyText, fingerprint);
			const result: {received: Told | undefined} = {received: undefined};
			const receive = (life?: Life) => {
				options.onStep?.('received', life!);
				const finish = async () => {
					// A daemon that the step has paused or crashed goes no further.
					await life!.clock.sleep(0);
					const answer = await answerAt(life!, keyText, fingerprint);
					told.push({...answer, id, executions: executions.get(id) ?? 0});
					const response: Message = {kind: 'ask', direction: 'response'};
					const arrive = () => {
						result.received ??= answer;
						options.onStep?.('after-answer', life!);
					};

					send(response, () => undefined, arrive);
				};

				void finish();
			};

			send({kind: 'ask', direction: 'request'}, () => lives[index], receive);
			return result;
		},
		crash(index: number) {
			lives[index]!.state = 'crashed';
			lives[index]!.clock.isHalted = true;
		},
		restart(index: number) {
			this.crash(index);
			const life = start(index, lives[index]!.self.incarnation + 1);
			refreshView(life);
		},
		pause(index: number, isClockFrozen: boolean) {
			if (lives[index]!.state === 'running') {
				lives[index]!.state = 'paused';
				lives[index]!.isClockFrozen = isClockFrozen;
				lives[index]!.clock.isHalted = true;
			}
		},
		resume(index: number) {
			if (lives[index]!.state === 'paused') {
				lives[index]!.state = 'running';
				lives[index]!.clock.resume();
			}
		},
		async advance(durationMs: number) {
			for (let passedMs = 0; passedMs < durationMs; passedMs += stepMs) {
				nowMs += stepMs;
				await deliverDue();
				for (const [index, life] of lives.entries()) {
					await advanceLife(life, index);
				}
			}
		},
	};
};

export type Cluster = ReturnType<typeof createCluster>;
