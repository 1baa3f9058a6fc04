/**
 * Queue of the work for one model: classes share by weight, teams share within
 * a class, and the items of one team keep their order.
 */
import type * as schema from '@hawthornfront/catalogue/common/schema.js';
import * as deficitRoundRobin from './deficit-round-robin.js';

/** An item as the queue needs to see it. */
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
	/** Items per team that are looked at when the first ones cannot be placed. */
	lookAhead: number;
};

export type WorkQueue<Item extends QueueItem> = {
	/** Adds at the end, or at the front for work that was already started once. */
	push(item: Item, isFirst: boolean): void;
	/** Takes an item out of turn; its cost is charged when `isServed`. */
	remove(item: Item, isServed: boolean): void;
	/** Takes the next item in fair order among those that `canPlace` accepts. */
	take(canPlace: (item: Item) => boolean): Item | undefined;
	/** In order of arrival. */
	items(workClass: schema.WorkClass): Item[];
	allItems(): Item[];
	count(workClass: schema.WorkClass): number;
	size(): number;
};

type ClassQueue<Item> = {
	teams: Map<string, Item[]>;
	turns: deficitRoundRobin.DeficitRoundRobin<string>;
	/** All items in order of arrival. */
	items: Set<Item>;
};

/** Creates an empty queue. */
export const createWorkQueue = <Item extends QueueItem>(
	options: WorkQueueOptions,
): WorkQueue<Item> => {
	const createClassQueue = (): ClassQueue<Item> => ({
		teams: new Map(),
		turns: deficitRoundRobin.createDeficitRoundRobin(options.quantumTokens),
		items: new Set(),
	});
	const classes: Record<schema.WorkClass, ClassQueue<Item>> = {
		short: createClassQueue(),
		long: createClassQueue(),
		service: createClassQueue(),
	};
	const classTurns = deficitRoundRobin.createDeficitRoundRobin<schema.WorkClass>(
		options.quantumTokens,
	);

	const findPlaceable = (
		items: readonly Item[],
		canPlace: (item: Item) => boolean,
	): Item | undefined => items.slice(0, options.lookAhead).find((item) => canPlace(item));

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
			queue.turns.charge(item.team, item.cost);
			classTurns.charge(item.workClass, item.cost);
		}

		if (items.length === 0) {
			queue.teams.delete(item.team);
			queue.turns.deactivate(item.team);
		}

		if (queue.items.size === 0) {
			classTurns.deactivate(item.workClass);
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
			queue.turns.activate(item.team, item.weight);
			classTurns.activate(item.workClass, options.classWeights[item.workClass]);
		},
		remove,
		take(canPlace) {
			const workClass = classTurns.select((key) =>
				[...classes[key].teams.values()].some((items) => findPlaceable(items, canPlace)),
			);
			if (!workClass) {
				return undefined;
			}

			const {teams, turns} = classes[workClass];
			const team = turns.select((key) => Boolean(findPlaceable(teams.get(key)!, canPlace)));
			const item = team === undefined ? undefined : findPlaceable(teams.get(team)!, canPlace);
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
