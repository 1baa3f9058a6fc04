/**
 * Queue of the work for one model: classes share by weight, teams share within
 * a class, and the items of one team keep their order.
 */
import type * as schema from '@hawthornfront/catalogue/common/schema.js';
import * as deficitRoundRobin from './deficit-round-robin.js';

/** Fields of an item that the queue uses. */
export type QueueItem = {
	readonly workClass: schema.WorkClass;
	readonly team: string;
	readonly weight: number;
	/** Estimated tokens. */
	readonly cost: number;
};

export type WorkQueueOptions = {
	/** Tokens that a flow of weight 1 gets per round. */
	quantumTokens: number;
	classWeights: Readonly<Record<schema.WorkClass, number>>;
	/** Items per team that are checked when the first ones cannot be assigned. */
	lookAhead: number;
};

export type WorkQueue<Item extends QueueItem> = {
	/** Adds at the end, or at the front for work that was preempted or migrated. */
	push(item: Item, isFirst: boolean): void;
	/** Removes an item out of order; its cost is charged when `isServed`. */
	remove(item: Item, isServed: boolean): void;
	/** Takes the next item in fair order among those that `canPlace` accepts. */
	take(canAssign: (item: Item) => boolean): Item | undefined;
	/** In order of arrival. */
	items(workClass: schema.WorkClass): Item[];
	allItems(): Item[];
	count(workClass: schema.WorkClass): number;
	size(): number;
};

type ClassQueue<Item> = {
	teams: Map<string, Item[]>;
	roundRobin: deficitRoundRobin.DeficitRoundRobin<string>;
	/** All items in order of arrival. */
	items: Set<Item>;
};

/** Creates an empty queue. */
export const createWorkQueue = <Item extends QueueItem>(
	options: WorkQueueOptions,
): WorkQueue<Item> => {
	const createClassQueue = (): ClassQueue<Item> => ({
		teams: new Map(),
		roundRobin: deficitRoundRobin.createDeficitRoundRobin(options.quantumTokens),
		items: new Set(),
	});
	const classes: Record<schema.WorkClass, ClassQueue<Item>> = {
		short: createClassQueue(),
		long: createClassQueue(),
		service: createClassQueue(),
	};
	const classRoundRobin = deficitRoundRobin.createDeficitRoundRobin<schema.WorkClass>(
		options.quantumTokens,
	);

	const findAssignable = (
		items: readonly Item[],
		canAssign: (item: Item) => boolean,
	): Item | undefined => items.slice(0, options.lookAhead).find((item) => canAssign(item));

	const remove = (item: Item, isServed: boolean) => {
		const queue = classes[item.workClass];
		const items = queue.teams.get(item.team);
		const index = items?.indexOf(item) ?? -1;
		if (!items || index === -1) {
			return;
		}

		items.splice(index, 1);
		queue.items.delete(item);
		if (isServed) {
			queue.roundRobin.charge(item.team, item.cost);
			classRoundRobin.charge(item.workClass, item.cost);
		}

		if (items.length === 0) {
			queue.teams.delete(item.team);
			queue.roundRobin.deactivate(item.team);
		}

		if (queue.items.size === 0) {
			classRoundRobin.deactivate(item.workClass);
		}
	};

	const itemsOf = (workClass: schema.WorkClass) => [...classes[workClass].items];

	return {
		push(item, isFirst) {
			const queue = classes[item.workClass];
			const items = queue.teams.get(item.team) ?? [];
			queue.teams.set(item.team, items);
			if (isFirst) {
				items.unshift(item);
			} else {
				items.push(item);
			}

			queue.items.add(item);
			queue.roundRobin.activate(item.team, item.weight);
			classRoundRobin.activate(item.workClass, options.classWeights[item.workClass]);
		},
		remove,
		take(canPlace) {
			const workClass = classRoundRobin.select((key) =>
				[...classes[key].teams.values()].some((items) => findAssignable(items, canPlace)),
			);
			if (!workClass) {
				return undefined;
			}

			const {teams, roundRobin: turns} = classes[workClass];
			const team = turns.select((key) => Boolean(findAssignable(teams.get(key)!, canPlace)));
			const item = team === undefined ? undefined : findAssignable(teams.get(team)!, canPlace);
			if (item) {
				remove(item, true);
			}

			return item;
		},
		items: itemsOf,
		allItems: () => [...itemsOf('short'), ...itemsOf('long'), ...itemsOf('service')],
		count: (workClass) => classes[workClass].items.size,
		size: () => classes.short.items.size + classes.long.items.size + classes.service.items.size,
	};
};
