/** The project's stand-in of the platform, as `review/build-2.sh` builds it. */
const MODULE = new URL('../../target/build/stand-ins/platform/index.js', import.meta.url).href;

export const { PLATFORM_PORTS, PlatformCluster, callControl, sendAttempt } = await import(MODULE);
