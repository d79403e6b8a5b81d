package burdockspread.document

internal const val KEY_A = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"

/** JSON of small sections for the tests of this package. */
internal object Documents {
    fun root(vararg sections: String, version: Long = 0): String {
        val entries = (listOf("root") + sections)
            .joinToString { """{"name": "$it", "owner": "ops"}""" }
        return section("root", """"root": {"sections": [$entries]}""", version)
    }

    fun priorities(vararg names: String, deadline: String = "0.64s", version: Long = 0): String {
        val list = names.joinToString { priority(it, deadline) }
        return section("priorities", """"priorities": {"priorities": [$list]}""", version)
    }

    fun organisations(vararg priorityOf: Pair<String, String>, version: Long = 0): String {
        val list = priorityOf.joinToString { (name, priority) ->
            """{"name": "$name", "defaultPriority": "$priority"}"""
        }
        return section("organisations", """"organisations": {"organisations": [$list]}""", version)
    }

    fun models(vararg names: String, version: Long = 0): String {
        val list = names.joinToString { """{"name": "$it", "version": "1", "maxTokens": 4096}""" }
        return section("models", """"models": {"models": [$list]}""", version)
    }

    fun domain(name: String, vararg targets: String, version: Long = 0): String = section(
        name,
        """"failureDomain": {"name": "$name", "region": "west", "targets": [
            ${targets.joinToString()}]}""",
        version,
    )

    fun engine(name: String, model: String, address: String): String =
        """{"name": "$name", "address": "$address", "models": ["$model"], "batchSlots": 8}"""

    fun section(name: String, body: String, version: Long = 0, owner: String = "ops"): String =
        """{"name": "$name", "owner": "$owner", "version": $version, $body}"""

    private fun priority(name: String, deadline: String): String = """{
        "name": "$name", "level": 1, "firstTokenDeadline": "$deadline",
        "recovery": {"mode": "RESUME_EARLY", "stallMultiple": 8, "minStall": "0.2s",
            "maxStall": "2s", "maxAttempts": 4}}"""
}
