/**
 * Keeps a SIGHUP from ending a process that has not yet read its settings.
 *
 * Node.js ends a process on a SIGHUP without a listener. This module is imported before all others; the
 * settings are read after it, so a change that such a signal announces is not missed.
 */
process.on('SIGHUP', () => undefined);
