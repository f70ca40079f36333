package medlarroute.core

import arrow.core.Either

/** One error in a rules text; [line] counts from 1, and is 0 if the error has no line. */
public data class RulesFinding(public val line: Int, public val message: String)

/** Parses a rules text and collects all errors. The version of the result is ignored. */
public fun interface RulesParser {
    /** The rules, or all errors of [text]. */
    public fun parse(text: String): Either<List<RulesFinding>, Rules>
}

/** A committed version of the rules text. */
public data class RulesText(public val version: Long, public val text: String)

/** Outcome of offering a version to a [RulesKeeper]. */
public sealed interface RulesOffer {
    /** The version is in force from now on. */
    public data class InForce(public val rules: Rules) : RulesOffer

    /** The version in force is the same or a higher one. */
    public data object NotNewer : RulesOffer

    /** This program can't parse the version; the one in force stays. */
    public data class Unreadable(public val findings: List<RulesFinding>) : RulesOffer
}

/** The rules in force on this instance. Their version never decreases. Not thread-safe. */
public class RulesKeeper(private val parser: RulesParser) {
    /** The text in force; null before the first version, while jobs are refused. */
    public var current: RulesText? = null
        private set

    /** The version in force; 0 before the first one. */
    public val version: Long get() = current?.version ?: 0

    private var advertisedVersion = 0L
    private var unreadableVersion = 0L

    /** Brings a committed version into force if it is newer and can be parsed. */
    public fun offer(found: RulesText): RulesOffer {
        if (found.version <= version) return RulesOffer.NotNewer
        return parser.parse(found.text).fold(
            { findings ->
                unreadableVersion = maxOf(unreadableVersion, found.version)
                RulesOffer.Unreadable(findings)
            },
            { rules ->
                current = found
                RulesOffer.InForce(rules.copy(version = found.version))
            },
        )
    }

    /** Records the version that a peer advertised; true if the text should be fetched from that peer. */
    public fun versionAdvertised(version: Long): Boolean {
        advertisedVersion = maxOf(advertisedVersion, version)
        return version > this.version && version > unreadableVersion
    }

    /** True while a version above the one in force is known to exist. */
    public val isBehind: Boolean get() = maxOf(advertisedVersion, unreadableVersion) > version
}
