/** Fake runner with a load time, which applies orders with or without a check of the fencing number. */
import type * as clock from '@hawthornfront/base/common/clock.js';
import type * as disposable from '@hawthornfront/base/common/disposable.js';
import type * as runnerClient from '../common/runner-client.js';

export const loadMs = 4000;

export class FakeRunner {
	model: string;
	role = 'mixed';
	leaving = false;
	isSilent = false;
	loads = 0;
	highestFencing = 0;
	readonly #checksFencing: boolean;
	readonly #clock: clock.Clock;
	#loading: {model: string; timer: disposable.Disposable} | undefined;

	constructor(
		readonly name: string,
		timeSource: clock.Clock,
		checksFencing: boolean,
		model: string,
	) {
		this.#clock = timeSource;
		this.#checksFencing = checksFencing;
		this.model = model;
	}

	applyOrder(order: runnerClient.RunnerOrder): runnerClient.OrderAnswer {
		if (this.#checksFencing && order.fencing < this.highestFencing) {
			return 'refused';
		}

		this.highestFencing = Math.max(this.highestFencing, order.fencing);
		if (order.order === 'change-role') {
			this.role = order.role;
		} else if ((this.#loading?.model ?? this.model) !== order.model) {
			this.#load(order.model);
		}

		return 'accepted';
	}

	#load(model: string): void {
		this.#loading?.timer.dispose();
		this.model = '';
		this.loads++;
		const timer = this.#clock.setTimer(() => {
			this.model = model;
			this.#loading = undefined;
		}, loadMs);
		this.#loading = {model, timer};
	}
}
