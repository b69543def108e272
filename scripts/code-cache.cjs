// Makes V8's code cache for the bundle. Runs under the options of the gateway, as V8 accepts the cache under no others.
const fs = require('node:fs');
const process = require('node:process');
const vm = require('node:vm');

const source = 'target/gateway.js';
const script = new vm.Script(fs.readFileSync(source, 'utf8'), {filename: source});
// The functions that have run are in the cache: with empty settings, all that a start runs before it opens a socket.
process.env.BLUEBELLMAST_NODE_FILE = '/dev/null';
console.error = () => undefined;
script.runInThisContext()(require).then(() => {
	fs.writeFileSync('target/gateway.cache', script.createCachedData());
	process.exitCode = 0;
});
