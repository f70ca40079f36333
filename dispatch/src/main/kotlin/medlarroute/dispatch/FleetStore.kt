package medlarroute.dispatch

import kotlinx.serialization.Serializable
import medlarroute.dispatch.evacuation.EvacuatedDomains

/**
 * An instance as known to the store and to its peers.
 *
 * @property number registration number, which increases with each start of any instance. It identifies the incarnation
 *   (one run of the instance's process); the instance with the lowest number is the most senior.
 * @property strength processor of its machine in tenths of a core; the strongest are preferred as owners.
 */
@Serializable
public data class PeerMember(
    public val instance: String,
    public val failureDomain: String,
    public val host: String,
    public val port: Int,
    public val number: Long,
    public val strength: Int = 0,
) {
    /** Whether the store has assigned a registration number to this incarnation. */
    public val isRegistered: Boolean get() = number < UNREGISTERED

    public companion object {
        /** First provisional number, used until the store can be reached; it ranks as the most junior. */
        public const val UNREGISTERED: Long = 1L shl 52

        /** Orders candidates for ownership, best first: by strength, then by seniority. */
        public val BY_PREFERENCE: Comparator<PeerMember> = compareByDescending<PeerMember> {
            it.strength
        }.thenBy { it.number }
    }
}

/**
 * Records which instance controls the backend servers of a failure domain.
 *
 * @property owner name of the instance; empty if the last owner has released the failure domain.
 * @property ownerNumber registration number of the owner.
 * @property token fencing token of the owner's commands; backend servers reject lower ones.
 */
@Serializable
public data class OwnerRecord(
    public val failureDomain: String,
    public val owner: String,
    public val ownerNumber: Long,
    public val token: Long,
)

/** An [OwnerRecord] with the version of its row, which is 0 if there is no row. */
public data class VersionedOwner(public val record: OwnerRecord?, public val version: Long)

/** Result of a conditional write of owner records. */
public sealed interface OwnerWriteResult {
    /** All records were written; [versions] holds their new versions by failure domain. */
    public data class Written(val versions: Map<String, Long>) : OwnerWriteResult

    /** Nothing was written since a version has changed; [owners] holds the current records. */
    public data class Conflict(val owners: Map<String, VersionedOwner>) : OwnerWriteResult

    /** The write failed and nothing was written. */
    public data object Unavailable : OwnerWriteResult

    /** The write may or may not have been applied. */
    public data object Unknown : OwnerWriteResult
}

/** Access to the platform's store. Callbacks are called on the instance's event loop. */
public interface FleetStore {
    /** Registers this incarnation and passes its number to [onNumber]; null if the store can't be reached. */
    public fun register(member: PeerMember, onNumber: (Long?) -> Unit)

    /** Removes the row of this incarnation of [member], unless another one has registered. */
    public fun removeMember(member: PeerMember, onResult: (isRemoved: Boolean) -> Unit)

    /** Reads the owner of each failure domain that has a record; null if the store can't be reached. */
    public fun readOwners(onOwners: (Map<String, VersionedOwner>?) -> Unit)

    /** Writes all [records] if each row still has the given version; otherwise writes none. */
    public fun writeOwners(records: List<VersionedOwner>, onResult: (OwnerWriteResult) -> Unit)

    /** Watches the registered instances until the process ends. */
    public fun watchMembers(onMembers: (List<PeerMember>) -> Unit)

    /**
     * Watches the configuration and the evacuated failure domains until the process ends. Where both have changed,
     * [onEvacuated] is called first.
     */
    public fun watchConfiguration(
        onConfiguration: (DispatchConfiguration) -> Unit,
        onEvacuated: (EvacuatedDomains) -> Unit,
    )

    /** Starts or stops watching the list of backend servers. */
    public fun watchBackends(enabled: Boolean, onBackends: (BackendList) -> Unit)

    /** Whether the store currently responds to this instance. */
    public val isReachable: Boolean
}
