/** Services and shared helpers of the commands; tests replace the services. */
import * as fs from 'node:fs';
import type * as clock from '@hawthornfront/base/common/clock.js';
import type * as httpClient from '@hawthornfront/base/common/http-client.js';
import type * as random from '@hawthornfront/base/common/random.js';
import * as settings from '@hawthornfront/base/node/settings.js';
import * as catalogueFile from '@hawthornfront/catalogue/common/catalogue-file.js';
import type * as problem from '@hawthornfront/catalogue/common/problem.js';
import type * as schema from '@hawthornfront/catalogue/common/schema.js';
import * as catalogueReader from '@hawthornfront/catalogue/node/catalogue-reader.js';
import type * as keyValueStore from '@hawthornfront/platform/common/key-value-store.js';
import * as ctlError from '../common/ctl-error.js';
import * as render from '../common/render.js';
import * as ctlSettings from './settings.js';

export type CtlContext = {
	clock: clock.Clock;
	random: random.Random;
	http: httpClient.HttpClient;
	openStore: (address: string) => keyValueStore.KeyValueStore;
	createOperationId: () => string;
	/** Writes one line to standard output. */
	print: (line: string) => void;
	/** Writes one line to standard error. */
	printError: (line: string) => void;
};

/** Reads the file named by `--config`. @throws {@link settings.SettingsError} */
export const readSettings = (options: {config?: string}): ctlSettings.CtlSettings => {
	if (options.config === undefined) {
		throw new ctlError.CtlError(ctlError.exitCodes.usage, 'expected --config FILE.ini');
	}

	return settings.readSettings(String(options.config), ctlSettings.settingsSchema);
};

/** Throws the first problem, if any, after printing the others. */
export const refuseProblems = (
	context: CtlContext,
	source: string,
	problems: readonly problem.CatalogueProblem[],
): void => {
	const lines = render.problemLines(problems);
	const [first, ...others] = lines;
	if (first === undefined) {
		return;
	}

	for (const line of others) {
		context.printError(`${source}: ${line}`);
	}

	throw new ctlError.CtlError(ctlError.exitCodes.invalid, `${source}: ${first}`);
};

/** Reads a catalogue file and rejects records that violate the schema. */
export const readCatalogueFile = (context: CtlContext, file: string): schema.CatalogueRecord[] => {
	let text: string;
	try {
		text = fs.readFileSync(file, 'utf8');
	} catch (error) {
		const detail = error instanceof Error ? error.message : String(error);
		throw new ctlError.CtlError(ctlError.exitCodes.usage, `${file}: ${detail}`);
	}

	const {records, problems} = catalogueFile.parseCatalogue(text);
	refuseProblems(context, file, problems);
	return records;
};

/** Reads the catalogue from the store in the settings. */
export const readStoredCatalogue = async (
	context: CtlContext,
	options: {config?: string},
): Promise<catalogueReader.StoredCatalogue> => {
	const {platform} = readSettings(options);
	return catalogueReader.readCatalogue(context.openStore(platform.store));
};
