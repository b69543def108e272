import * as module from 'node:module';

const requirePackage = module.createRequire(import.meta.url);

/** Version of the tool, from its package.json. */
export const toolVersion = (requirePackage('../../package.json') as {version: string}).version;
