/** HTTP clients of the platform's services. */
import type * as httpClient from '@hawthornfront/base/common/http-client.js';
import * as httpKeyValueStore from '@hawthornfront/platform/node/http-key-value-store.js';
import * as httpPlatformServices from '@hawthornfront/platform/node/http-platform-services.js';
import type * as daemon from './daemon.js';
import type * as settings from './settings.js';

/** Creates the clients from the addresses in the settings. */
export const createHttpPlatform = (
	client: httpClient.HttpClient,
	addresses: settings.EntrySettings['platform'],
): daemon.Platform => ({
	store: new httpKeyValueStore.HttpKeyValueStore(client, addresses.store),
	vmList: new httpPlatformServices.HttpVmList(client, addresses.vmList),
	directory: new httpPlatformServices.HttpDirectory(client, addresses.directory),
});
