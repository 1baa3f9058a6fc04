/** Orders to a runner: load or unload a model, change the role. */
import type * as clockModule from '@hawthornfront/base/common/clock.js';
import type * as disposable from '@hawthornfront/base/common/disposable.js';
import * as zod from 'zod';

export const orderSchema = zod.object({
	order: zod.enum(['load', 'unload', 'change-role']),
	/** Lease number of the placer that gives the order. */
	fencing: zod.number().int().nonnegative(),
	model: zod.string().optional(),
	role: zod.string().optional(),
});
export type Order = zod.infer<typeof orderSchema>;

export type OrderResult =
	| {accepted: true; model: string; role: string; loading?: string}
	| {accepted: false; reason: string; highestFencing: number};

export type OrderSettings = {
	/** Model at the start; empty when none is loaded. */
	model: string;
	role: string;
	loadMs: number;
	checksFencing: boolean;
};

export type OrderBook = disposable.Disposable & {
	/** Loaded model; empty while none is. */
	readonly model: string;
	readonly role: string;
	/** Model that is being loaded. */
	readonly loading: string | undefined;
	readonly counts: {accepted: number; stale: number; loads: number; roleChanges: number};
	/** Orders accepted, in order of arrival. */
	readonly accepted: readonly Order[];
	give(order: Order): OrderResult;
};

/** Creates the order book of one runner. `onUnload` is called when a model leaves memory. */
export const createOrderBook = (
	clock: clockModule.Clock,
	settings: OrderSettings,
	onUnload: () => void,
): OrderBook => {
	const counts = {accepted: 0, stale: 0, loads: 0, roleChanges: 0};
	const accepted: Order[] = [];
	let {model, role} = settings;
	let loading: {model: string; timer: disposable.Disposable} | undefined;
	let highestFencing = 0;

	const stopLoading = () => {
		loading?.timer.dispose();
		loading = undefined;
	};

	const unload = () => {
		stopLoading();
		model = '';
		onUnload();
	};

	const load = (wanted: string) => {
		if (loading?.model === wanted || (!loading && model === wanted)) {
			return;
		}

		unload();
		counts.loads++;
		const timer = clock.setTimer(() => {
			loading = undefined;
			model = wanted;
		}, settings.loadMs);
		loading = {model: wanted, timer};
	};

	const perform = (order: Order) => {
		if (order.order === 'load') {
			load(order.model ?? '');
		} else if (order.order === 'unload') {
			unload();
		} else if (order.role !== undefined && order.role !== role) {
			role = order.role;
			counts.roleChanges++;
		}
	};

	return {
		get model() {
			return model;
		},
		get role() {
			return role;
		},
		get loading() {
			return loading?.model;
		},
		counts,
		accepted,
		give(order) {
			if (settings.checksFencing && order.fencing < highestFencing) {
				counts.stale++;
				return {accepted: false, reason: 'stale fencing number', highestFencing};
			}

			highestFencing = Math.max(highestFencing, order.fencing);
			counts.accepted++;
			accepted.push(order);
			perform(order);
			return {accepted: true, model, role, loading: loading?.model};
		},
		dispose: stopLoading,
	};
};
