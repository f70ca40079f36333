package medlarroute.dispatch

import kotlinx.serialization.Serializable

/**
 * An instance as the store and its peers know it.
 *
 * @property strength processor of its machine in tenths of a core; the strongest are preferred as owners.
 * @property number rises with each start of any instance; the lowest is the most senior. It tells the lives of an
 *   instance apart.
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
    /** Whether the store has given this life its number. */
    public val isRegistered: Boolean get() = number < UNREGISTERED

    public companion object {
        /** Numbers from here on are provisional until the store can be reached. They make the life the most junior. */
        public const val UNREGISTERED: Long = 1L shl 52

        /** Best candidate for ownership first: the strongest, then the most senior. */
        public val BY_PREFERENCE: Comparator<PeerMember> = compareByDescending<PeerMember> {
            it.strength
        }.thenBy { it.number }
    }
}

/**
 * Who orders the backend servers of a failure domain.
 *
 * @property owner name of the instance; empty if the last owner has given it up.
 * @property token carried by all orders; backend servers refuse lower ones.
 */
@Serializable
public data class OwnerRecord(
    public val failureDomain: String,
    public val owner: String,
    public val ownerNumber: Long,
    public val token: Long,
)

/** An [OwnerRecord] and the version of its row; 0 if there is no row. */
public data class VersionedOwner(public val record: OwnerRecord?, public val version: Long)

/** What came of a conditional write of owner records. */
public sealed interface OwnerWriteResult {
    /** New version of each record, by failure domain. */
    public data class Written(val versions: Map<String, Long>) : OwnerWriteResult

    /** Another instance has written; [owners] is what is there now. */
    public data class Conflict(val owners: Map<String, VersionedOwner>) : OwnerWriteResult

    /** Nothing was written. */
    public data object Unavailable : OwnerWriteResult

    /** The write may have been carried out. */
    public data object Unknown : OwnerWriteResult
}

/** What an instance keeps in the platform's store. Callbacks come on the instance's thread. */
public interface FleetStore {
    /** Registers this life of the instance; null if the store can't be reached. */
    public fun register(member: PeerMember, onNumber: (Long?) -> Unit)

    /** The owner of each failure domain that has a record; null if the store can't be reached. */
    public fun readOwners(onOwners: (Map<String, VersionedOwner>?) -> Unit)

    /** Writes all [records] if each still has the version given with it, or none. */
    public fun writeOwners(records: List<VersionedOwner>, onResult: (OwnerWriteResult) -> Unit)

    /** Watches the instances until the process ends. */
    public fun watchMembers(onMembers: (List<PeerMember>) -> Unit)

    /** Watches the configuration until the process ends. */
    public fun watchConfiguration(onConfiguration: (DispatchConfiguration) -> Unit)

    /** Begins or ends watching the list of backend servers. */
    public fun watchBackends(enabled: Boolean, onBackends: (List<BackendInfo>) -> Unit)

    /** Whether the store answers this instance. */
    public val isReachable: Boolean
}
