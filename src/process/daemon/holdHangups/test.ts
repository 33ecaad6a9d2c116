import tap from 'tap';

// Guards against a process that ends because its settings change while it starts.
tap.test('a process that has loaded the module survives a hangup', async (t) => {
  const before = process.listenerCount('SIGHUP');
  await import('./index.js');
  t.equal(process.listenerCount('SIGHUP'), before + 1);
  process.kill(process.pid, 'SIGHUP');
  await new Promise((resolve) => {
    setTimeout(resolve, 50);
  });
  t.pass('the process runs on');
});
