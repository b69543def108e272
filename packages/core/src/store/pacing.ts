/** Registrations of all VMs per second after the store returned from a copy; each takes two writes and a read. */
const registrationsPerSecond = 50;
/** Longest delay of a registration, in milliseconds; VMs without a key still count for longer than this. */
const maxRegistrationDelayMs = 8000;
const msPerSecond = 1000;

/**
 * Returns the delay before a VM registers anew because the store lost its lease, in milliseconds. The delays spread the VMs evenly,
 * since the leases of all VMs are lost at once.
 *
 * @param random - Random number in the range [0, 1).
 */
export function computeRegistrationDelayMs(vmCount: number, random: number): number {
	return random * Math.min(maxRegistrationDelayMs, vmCount * msPerSecond / registrationsPerSecond);
}
