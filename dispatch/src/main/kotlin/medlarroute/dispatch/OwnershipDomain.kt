package medlarroute.dispatch

/** What an instance knows about the ownership of one failure domain. */
internal class OwnershipDomain(val name: String) {
    var version = 0L
    var record: OwnerRecord? = null

    /** Time of the last observed change of the record; null before the first read. */
    var changedAtMs: Long? = null
    var ownedToken: Long? = null

    /** Token under which this instance released the domain; null if it did not, or owns it again. */
    var releasedToken: Long? = null

    /** Instance to which this instance released the domain; null if it knew none. */
    var successor: String? = null

    /** Highest token that this instance has used. */
    var usedToken = 0L

    /** Time since which the domain has had no owner that this instance reaches; null while it has one. */
    var unownedSinceMs: Long? = null
}
